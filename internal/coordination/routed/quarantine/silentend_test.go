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

// Guards against the end of a target that does not count, since the same request was left there before while the target
// was slow: the target proved then that it runs, and ended later.
func TestEndCountsAfterAnEarlierOneWasRefuted(t *testing.T) {
	e, other := NewEvidence("a"), NewEvidence("b")
	end := func(at time.Time, events int, state EndState) {
		lost := LostRequest{Request: Request{Key: "request:1"}, Target: "t", Started: sentTo, Events: events, At: at}
		_, changed := e.TargetEnded(at, &lost, state)
		require.True(t, changed)
	}
	slow, ended := at(0), at(10*second)
	end(slow, 1, EndSuspected)
	end(slow, 1, EndRefuted)
	require.Zero(t, e.Ends("request:1"))
	end(ended, 12, EndSuspected)
	require.Equal(t, 1, e.Ends("request:1"))
	require.Equal(t, 12, e.ends.records["request:1"].counted()[0].events)
	other.Merge(ended, e.Since(ended, 0, false))
	require.Equal(t, 1, other.Ends("request:1"))
	// What is found of the earlier loss by now says nothing of the later one.
	_, changed := e.TargetEnded(ended, &LostRequest{Request: Request{Key: "request:1"}, Target: "t", Started: sentTo, At: slow}, EndRefuted)
	require.False(t, changed)
	require.Equal(t, 1, e.Ends("request:1"))
}

// Guards against repeats that end targets without bound, since other requests had been left at these targets before and
// suspected their end: it may have been a pause.
func TestEndCountsThoughTheTargetWasSuspectedBefore(t *testing.T) {
	e := NewEvidence("a")
	paused, sent := at(0), at(2*second)
	other := LostRequest{Request: Request{Key: "request:1"}, Target: "t", Started: sentTo, At: paused, Left: true}
	e.TargetEnded(paused, &other, EndSuspected)
	lost := LostRequest{Request: Request{Key: "request:2"}, Target: "t", Started: sentTo, SentAt: sent, At: sent, Left: true}
	e.TargetEnded(sent, &lost, EndConfirmed)
	require.Equal(t, 1, e.Ends("request:2"))
}

// Guards against a repeat that is sent on while a third target may have ended, since targets that do not tell when they
// started have no ends until the list has the next ones.
func TestUndecidedEndsMayBeEndsOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scriptedTarget{results: []probe{{result: probeAccepted}}}
		g := New(Options{Self: "a", Targets: s, StartOf: s.startOf, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		request := Request{ID: "r", Key: "request:1"}
		for lost, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			require.Equal(t, lost, g.PossibleEnds(request))
			g.Lost(LostRequest{Request: request, Target: address, Started: sentTo, Address: address, At: time.Now()})
			time.Sleep(EndKnownAfter)
			synctest.Wait()
		}
		require.Equal(t, 2, g.PossibleEnds(request))
		ends, _ := g.Ends(request)
		require.Zero(t, ends)
		time.Sleep(2 * listedTTL)
		synctest.Wait()
		require.Zero(t, g.PossibleEnds(request), "the list has no next ones")
	})
}

// Guards against an instance that was paused and decides before it has read what others sent meanwhile, and against one
// that always waits.
func TestCatchUpWaitsAfterAPause(t *testing.T) {
	for running, want := range map[time.Duration]time.Duration{0: catchUpTime, catchUpTime / 4: catchUpTime * 3 / 4, catchUpTime: 0, time.Hour: 0} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			resumed := start.Add(-running)
			g := New(Options{Self: "a", Logger: log.NewNopLogger(), ResumedAt: func() time.Time { return resumed }})
			g.CatchUp(t.Context())
			require.Equal(t, want, time.Since(start))
		})
	}
}
