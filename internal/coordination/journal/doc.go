// Package journal is the instance's client of the platform's log. It implements
// coordination.Journal.
//
// Its background services run in the instance's supervision tree. They
// communicate through a ring of submissions and through the replayed state:
//
//   - writer: appends records by group commit. It collects waiting records into
//     one frame and has one frame in flight. If the answer to an append is lost,
//     it retries the frame with the same record IDs.
//   - reader: replays the control stream and resolves the submissions whose
//     records it reads. A record's outcome is known only from replay, never from
//     the answer to an append.
//   - renewer and observer: renew the instance's own session and propose the
//     expiry of silent sessions. Package member makes these decisions.
//   - snapshotter: writes the replayed state to the snapshot stream, so that
//     instances can start after the first records have left retention.
//   - withdrawer: appends key withdrawals that were made while the log was down.
package journal
