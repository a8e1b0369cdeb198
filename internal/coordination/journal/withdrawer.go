package journal

import (
	"context"
	"time"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// withdrawer is the background service that appends the key withdrawals that
// were made while the log was down.
type withdrawer struct {
	*Journal
}

// String names the service.
func (w *withdrawer) String() string { return "key withdrawer" }

// Serve appends outstanding withdrawals every CheckInterval until ctx ends.
func (w *withdrawer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(w.timings.CheckInterval)
	defer ticker.Stop()
	var upSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !w.LogUp() || w.Session() == 0 {
			upSince = time.Time{}
			continue
		}
		if upSince.IsZero() {
			upSince = time.Now()
		}
		w.appendWithdrawals(ctx, time.Since(upSince))
	}
}

// appendWithdrawals submits the local key withdrawals that are due on this
// instance. Every instance of an isolated failure domain holds the same
// withdrawals. Rendezvous hashing gives each instance a different delay, so
// that not all of them append. A second withdrawal of the same key does no
// harm.
func (w *withdrawer) appendWithdrawals(ctx context.Context, up time.Duration) {
	for _, tombstone := range w.Tombstones() {
		turn := time.Duration(w.rank("withdraw/"+string(tombstone.Key))) * w.timings.Session.Stagger
		if up < turn {
			continue
		}
		submitCtx, cancel := context.WithTimeout(ctx, w.timings.Session.Renew)
		outcome := w.Submit(submitCtx, protocol.Record{KeyWithdraw: &tombstone})
		cancel()
		w.event("withdrawal_appended", "key", tombstone.Key, "verdict", outcome.Verdict, "err", outcome.Err)
	}
}

// rank returns the position of this instance among the open sessions in the
// rendezvous order for a key.
func (j *Journal) rank(key string) int {
	own := j.Session()
	var candidates []protocol.SessionID
	j.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			candidates = append(candidates, info.Session)
		}
	})
	return member.Rank(key, own, candidates)
}
