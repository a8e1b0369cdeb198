// Package journal is the instance's client of the platform's log: it
// implements coordination.Journal.
//
// Its duties are services of the instance's supervision tree, joined by a ring
// and by the replayed state:
//
//   - writer: group commit. It gathers waiting records into one frame, has one
//     frame in flight, and retries a frame whose answer was lost under the same
//     record ids.
//   - reader: replays the control stream and settles the records that it reads
//     back. A record's fate is learned only here, never from an append's answer.
//   - renewer and observer: keep the own session and propose the expiry of
//     silent ones (decided by package member).
//   - snapshotter: writes the replayed state to the snapshot stream, so that
//     instances can start after the first records have left retention.
//   - withdrawer: appends the keys that were withdrawn while the log was away.
package journal
