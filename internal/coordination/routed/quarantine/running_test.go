package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// lose reports a request whose target closed the connection, and waits until the checks of the target are over.
func lose(g *Guard, request Request, target string, started int64) {
	g.Lost(LostRequest{Request: request, Target: target, Started: started, Address: "10.0.0.1:80", At: time.Now()})
	time.Sleep(confirmDelay + time.Second)
	synctest.Wait()
}

// Guards against ends of several processes of one target that count as one, since they are back under its id and
// not listed anew.
func TestEndsOfUnlistedProcessesCountEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const listed = int64(sentTo)
		s := &scriptedTarget{results: []probe{{probeTold, 6}, {probeTold, 7}, {probeTold, 8}}}
		g := New(Options{Self: "a", Targets: s, StartOf: s.startOf, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		request := Request{ID: "r", Key: requestKeyPrefix + "1"}
		for _, expected := range []int64{listed, 6, 7} {
			started, ok := g.Running(ctx, "t", "10.0.0.1:80", listed)
			require.True(t, ok)
			require.Equal(t, expected, started)
			lose(g, request, "t", started)
		}
		ends, _ := g.Ends(request)
		require.Equal(t, 3, ends)
		require.True(t, g.Closed(request))
		started, ok := g.Running(ctx, "t", "10.0.0.1:80", 8)
		require.True(t, ok)
		require.Equal(t, int64(8), started, "listed anew")
	})
}

// Guards against a request that is sent to a target whose listed process has ended while no other one answers, and
// that is taken for one sent to the process that starts meanwhile.
func TestTargetWithoutProcessGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scriptedTarget{results: []probe{{result: probeSilent}}}
		g := New(Options{Self: "a", Targets: s, StartOf: s.startOf, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		_, ok := g.Running(ctx, "t", "10.0.0.1:80", sentTo)
		require.True(t, ok, "it is not known to have ended")
		lose(g, Request{ID: "r", Key: requestKeyPrefix + "1"}, "t", sentTo)
		_, ok = g.Running(ctx, "t", "10.0.0.1:80", sentTo)
		require.False(t, ok)
		s.results = []probe{{probeTold, replacement}}
		started, ok := g.Running(ctx, "t", "10.0.0.1:80", sentTo)
		require.True(t, ok)
		require.Equal(t, int64(replacement), started)
	})
}

// Guards against a lost answer of a process that is not listed yet that counts as another end of its target.
func TestLostAnswerOfUnlistedProcessIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scriptedTarget{results: []probe{{probeTold, replacement}}}
		g := New(Options{Self: "a", Targets: s, StartOf: s.startOf, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		lose(g, Request{ID: "r", Key: requestKeyPrefix + "1"}, "t", sentTo)
		sound := Request{ID: "s", Key: requestKeyPrefix + "2"}
		started, ok := g.Running(ctx, "t", "10.0.0.1:80", sentTo)
		require.True(t, ok)
		lose(g, sound, "t", started)
		ends, _ := g.Ends(sound)
		require.Zero(t, ends)
	})
}
