package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// scriptedListener refuses the connections of some checks, one after the other, and accepts further ones.
type scriptedListener struct {
	refuses []bool
	checks  int
}

func (l *scriptedListener) Refuses(context.Context, string) bool {
	l.checks++
	return l.checks <= len(l.refuses) && l.refuses[l.checks-1]
}

// endsAfterLoss reports a lost request to a guard, and returns the ends that count right after the first
// check of its target and after the second one.
func endsAfterLoss(t *testing.T, listener *scriptedListener, opts Options) (first, second int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		opts.Self, opts.Targets, opts.Logger = "a", listener, log.NewNopLogger()
		g := New(opts)
		go func() { _ = g.Checker().Serve(ctx) }()
		request := Request{ID: "r", Key: "request:1"}
		g.Lost(LostRequest{Request: request, Target: "t", Started: 5, Address: "10.0.0.1:80", At: time.Now()})
		time.Sleep(EndKnownAfter)
		synctest.Wait()
		first, _ = g.Ends(request)
		time.Sleep(confirmDelay + time.Second)
		synctest.Wait()
		second, _ = g.Ends(request)
	})
	return first, second
}

// endsStore keeps the newest records of ended targets.
type endsStore struct{ records map[string][]byte }

func (s *endsStore) Append(_ context.Context, _ external.Partition, records []external.KeyedRecord, _ int64) (int64, error) {
	for _, record := range records {
		s.records[record.Key] = record.Value
	}
	return 0, nil
}

func (s *endsStore) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	return external.KeyedPage{}, nil
}

// Guards against a start of all instances after which a sound request is closed since the store does not know
// which targets ended together.
func TestCommonFailureIsInStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &endsStore{map[string][]byte{}}
		listener := &scriptedListener{refuses: []bool{true, true, true, true}}
		g := New(Options{Self: "a", Targets: listener, Store: store, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		go func() { _ = g.Keeper().Serve(ctx) }()
		for _, name := range []string{"1", "2"} {
			g.Lost(LostRequest{Request: Request{ID: name, Key: requestKeyPrefix + name}, Target: "t-" + name, Address: "10.0.0.1:80", At: time.Now()})
			time.Sleep(momentGap / 2)
		}
		time.Sleep(confirmDelay + time.Second)
		synctest.Wait()
		for _, name := range []string{"1", "2"} {
			var kept keptEnds
			require.NoError(t, cbor.Unmarshal(store.records[endsKeyPrefix+name], &kept))
			require.Equal(t, 1, kept.Ends[0].Simultaneous, name)
		}
	})
}

// Guards against the planned end of a target, a lost answer, a path that is cut or a connection refused for
// a moment that counts against a request, and against a crash that does not.
func TestOnlyCrashesOfTargetsCount(t *testing.T) {
	yes, no := func(string) bool { return true }, func(string) bool { return false }
	back := func(string, int64) bool { return true }
	for name, c := range map[string]struct {
		refuses       []bool
		opts          Options
		first, second int
	}{
		"crashed":                      {[]bool{true, true}, Options{}, 1, 1},
		"only the answer was lost":     {[]bool{false, true}, Options{}, 0, 0},
		"refused for a moment":         {[]bool{true, false}, Options{}, 1, 0},
		"back at once, listed anew":    {[]bool{true, false}, Options{Replaced: back}, 1, 1},
		"its domain is out of reach":   {[]bool{true, true}, Options{ReachesDomain: no, Replaced: back}, 1, 0},
		"left as planned":              {[]bool{true, true}, Options{Leaving: yes}, 0, 0},
		"crashed, listed and in reach": {[]bool{true, true}, Options{Leaving: no, ReachesDomain: yes}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := endsAfterLoss(t, &scriptedListener{refuses: c.refuses}, c.opts)
			require.Equal(t, c.first, first, "after the first check")
			require.Equal(t, c.second, second, "after the second check")
		})
	}
}
