package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against a target that stood still until its entry expired, and was killed later, whose end counts as planned,
// and against a planned end that counts since a request was silent there.
func TestEndIsNotPlannedIfTargetStoodStillBeforeItLeft(t *testing.T) {
	for name, c := range map[string]struct {
		// leaving and data are how long ago the target left the list and last sent something to the request.
		leaving, data time.Duration
		ends          int
	}{
		"stood still before its entry expired": {2 * time.Second, 6 * time.Second, 1},
		"stood still from then on":             {2 * time.Second, 2 * time.Second, 1},
		"served on":                            {4 * time.Second, 2 * time.Second, 0},
		"sent data until it ended":             {2 * time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				now := time.Now()
				target := &scriptedTarget{results: []probe{{result: probeRefused}}}
				g := New(Options{
					Self: "a", Targets: target, StartOf: target.startOf, Logger: log.NewNopLogger(),
					LeavingSince: func(string, int64) (time.Time, bool) { return now.Add(-c.leaving), true },
				})
				go func() { _ = g.Checker().Serve(ctx) }()
				request := Request{ID: "r", Key: "request:1"}
				g.Lost(LostRequest{Request: request, Target: "t", Started: sentTo, Address: "10.0.0.1:80", At: now, DataAt: now.Add(-c.data)})
				time.Sleep(EndKnownAfter)
				synctest.Wait()
				ends, _ := g.Ends(request)
				require.Equal(t, c.ends, ends)
			})
		})
	}
}
