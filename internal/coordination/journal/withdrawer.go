package journal

import (
	"context"
	"time"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// withdrawer is the duty that appends the keys withdrawn while the log was
// away.
type withdrawer struct {
	*Journal
}

// String names the service.
func (w *withdrawer) String() string { return "key withdrawer" }

// Serve appends what is missing at each tick until ctx ends.
func (w *withdrawer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(w.timings.Tick)
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
		w.append(ctx, time.Since(upSince))
	}
}

// append submits the local withdrawals whose turn has come. Every instance of
// a domain that was cut off holds the same ones; they take turns by rendezvous
// so that not all append them. A second withdrawal does no harm.
func (w *withdrawer) append(ctx context.Context, up time.Duration) {
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

// rank is the instance's place among the open sessions for a duty.
func (j *Journal) rank(duty string) int {
	own := j.Session()
	var candidates []protocol.SessionID
	j.View(func(s *replica.State) {
		for _, info := range s.Sessions.All() {
			candidates = append(candidates, info.Session)
		}
	})
	return member.Rank(duty, own, candidates)
}
