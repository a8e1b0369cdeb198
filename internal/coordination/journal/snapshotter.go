package journal

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// snapshotDuty is the name by which rendezvous hashing chooses the instance
// that writes snapshots.
const snapshotDuty = "snapshot"

// snapshotter is the duty that writes snapshots when it is this instance's
// turn. Two instances that both believe so write one each, which costs space.
type snapshotter struct {
	*Journal
	// wroteAt and wroteOffset are of the latest snapshot of this instance.
	wroteAt     time.Time
	wroteOffset protocol.Offset
}

// String names the service.
func (s *snapshotter) String() string { return "snapshotter" }

// Serve looks at each tick whether a snapshot is due, until ctx ends.
func (s *snapshotter) Serve(ctx context.Context) error {
	select {
	case <-s.Loaded():
	case <-ctx.Done():
		return ctx.Err()
	}
	s.wroteAt = time.Now()
	s.wroteOffset = s.Applied()
	return wait.Every(ctx, s.timings.Tick, func() { s.look(ctx) })
}

func (s *snapshotter) look(ctx context.Context) {
	if !s.due() || !s.LogUp() || !s.MayHold() || s.rank(snapshotDuty) != 0 {
		return
	}
	if err := s.write(ctx); err != nil {
		s.event("snapshot_failed", "err", err)
	}
}

func (s *snapshotter) due() bool {
	entries := int64(s.Applied() - s.wroteOffset)
	if entries >= s.timings.SnapshotEvery {
		return true
	}
	return entries > 0 && time.Since(s.wroteAt) >= s.timings.SnapshotAfter
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
	s.wroteAt = time.Now()
	s.wroteOffset = applied
	counters.Add(countSnapshots, 1)
	s.event("snapshot_written", "applied", applied, "bytes", len(data))
	return nil
}

// Snapshot encodes the replayed state, for the snapshot stream and for peers.
func (j *Journal) Snapshot() (protocol.Offset, []byte, error) {
	var capture *replica.Capture
	j.View(func(s *replica.State) { capture = s.Capture() })
	data, err := capture.Encode()
	return capture.Applied(), data, err
}
