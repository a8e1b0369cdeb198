package journal

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// snapshotRankKey is the rendezvous hashing key that selects the instance that
// writes snapshots.
const snapshotRankKey = "snapshot"

// snapshotter is the background service that writes snapshots when this
// instance is selected. If two instances both consider themselves selected,
// each writes one, which only costs space.
type snapshotter struct {
	*Journal
	// lastWrittenAt and lastOffset are the time and the offset of this
	// instance's latest snapshot, or of its start.
	lastWrittenAt time.Time
	lastOffset    protocol.Offset
}

// String names the service.
func (s *snapshotter) String() string { return "snapshotter" }

// Serve writes a snapshot whenever one is due, checking every CheckInterval
// until ctx ends.
func (s *snapshotter) Serve(ctx context.Context) error {
	select {
	case <-s.Loaded():
	case <-ctx.Done():
		return ctx.Err()
	}
	s.lastWrittenAt = time.Now()
	s.lastOffset = s.Applied()
	return wait.Every(ctx, s.timings.CheckInterval, func() { s.writeIfDue(ctx) })
}

func (s *snapshotter) writeIfDue(ctx context.Context) {
	if !s.due() || !s.LogUp() || !s.MayHold() || s.rank(snapshotRankKey) != 0 {
		return
	}
	if err := s.write(ctx); err != nil {
		s.event("snapshot_failed", "err", err)
	}
}

func (s *snapshotter) due() bool {
	entries := int64(s.Applied() - s.lastOffset)
	if entries >= s.timings.SnapshotEntries {
		return true
	}
	return entries > 0 && time.Since(s.lastWrittenAt) >= s.timings.SnapshotAfter
}

func (s *snapshotter) write(ctx context.Context) error {
	applied, data, err := s.Snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timings.SnapshotAfter)
	defer cancel()
	if err := s.appendSnapshot(ctx, applied, data); err != nil {
		return err
	}
	s.lastWrittenAt = time.Now()
	s.lastOffset = applied
	counters.Add(countSnapshots, 1)
	s.event("snapshot_written", "applied", applied, "bytes", len(data))
	return nil
}

// Snapshot encodes the replayed state for the snapshot stream and for peers.
func (j *Journal) Snapshot() (protocol.Offset, []byte, error) {
	var capture *replica.Capture
	j.View(func(s *replica.State) { capture = s.Capture() })
	data, err := capture.Encode()
	return capture.Applied(), data, err
}
