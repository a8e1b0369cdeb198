package quarantine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

const (
	// sentTo is the start of the process that requests of these tests are sent to, replacement that of another one.
	sentTo, replacement = 5, 9
)

// scriptedTarget is what checks of a target find, one after the other; the last of them repeats.
type scriptedTarget struct {
	results []probe
	// answersAfter is the time until a process answers.
	answersAfter time.Duration
	checks       int
}

func (s *scriptedTarget) current() probe { return s.results[min(s.checks, len(s.results))-1] }

func (s *scriptedTarget) Refuses(context.Context, string) bool {
	s.checks++
	return s.current().result == probeRefused
}

func (s *scriptedTarget) startOf(ctx context.Context, _ string) (int64, error) {
	select {
	case <-time.After(s.answersAfter):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if s.current().result == probeSilent {
		return 0, errors.New("connection reset by peer")
	}
	return s.current().started, nil
}

// endsOf returns the ends that count against a request some time after its target closed the connection.
func endsOf(t *testing.T, s *scriptedTarget, opts Options, after ...time.Duration) (ends []int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		opts.Self, opts.Targets, opts.Logger, opts.StartOf = "a", s, log.NewNopLogger(), s.startOf
		g := New(opts)
		go func() { _ = g.Checker().Serve(ctx) }()
		request := Request{ID: "r", Key: "request:1"}
		lostAt := time.Now()
		g.Lost(LostRequest{Request: request, Target: "t", Started: sentTo, Address: "10.0.0.1:80", At: lostAt})
		for _, d := range after {
			time.Sleep(d - time.Since(lostAt))
			synctest.Wait()
			count, _ := g.Ends(request)
			ends = append(ends, count)
		}
	})
	return ends
}

// Guards against the end of a target that counts as a lost answer, since another process accepts connections by the
// time of a check, and against a lost answer that counts as the end of its target.
func TestEndIsDismissedOnlyByTheProcessItself(t *testing.T) {
	no := func(string) bool { return false }
	runs, other := probe{probeTold, sentTo}, probe{probeTold, replacement}
	refused, silent, untold := probe{result: probeRefused}, probe{result: probeSilent}, probe{result: probeAccepted}
	for name, c := range map[string]struct {
		results       []probe
		answersAfter  time.Duration
		opts          Options
		first, second int
	}{
		"replaced before the first check":                 {[]probe{other}, 0, Options{}, 1, 1},
		"replaced, its domain out of reach":               {[]probe{other}, 0, Options{ReachesDomain: no}, 1, 1},
		"replaced, and answers late":                      {[]probe{other}, 100 * time.Millisecond, Options{}, 1, 1},
		"replaced before the second check, not listed":    {[]probe{refused, other}, 0, Options{}, 1, 1},
		"silent behind an open port, then replaced":       {[]probe{silent, other}, 0, Options{}, 1, 1},
		"silent behind an open port":                      {[]probe{silent}, 0, Options{}, 1, 1},
		"silent, its domain out of reach":                 {[]probe{silent}, 0, Options{ReachesDomain: no}, 1, 0},
		"only the answer was lost":                        {[]probe{runs}, 0, Options{}, 0, 0},
		"only the answer was lost, and answers late":      {[]probe{runs}, 100 * time.Millisecond, Options{}, 1, 0},
		"refused for a moment":                            {[]probe{refused, runs}, 0, Options{}, 1, 0},
		"refused for a moment, its domain out of reach":   {[]probe{refused, runs}, 0, Options{ReachesDomain: no}, 1, 0},
		"accepts connections, does not tell when started": {[]probe{untold}, 0, Options{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedTarget{results: c.results, answersAfter: c.answersAfter}
			got := endsOf(t, s, c.opts, EndKnownAfter, confirmDelay+time.Second)
			require.Equal(t, []int{c.first, c.second}, got)
		})
	}
}

// Guards against a crash of a part that is known only after the second check, though another process says at the
// first one that it has replaced the target.
func TestReplacedTargetIsCrashOfPartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scriptedTarget{results: []probe{{probeTold, replacement}}}
		g := New(Options{Self: "a", Targets: s, StartOf: s.startOf, Logger: log.NewNopLogger()})
		go func() { _ = g.Checker().Serve(ctx) }()
		g.Lost(LostRequest{Request: Request{ID: "r", Parts: []string{"dead"}}, Target: "t", Started: sentTo, Address: "10.0.0.1:80", At: time.Now()})
		time.Sleep(EndKnownAfter)
		synctest.Wait()
		require.Len(t, g.Since(0, false).Crashes, 1)
	})
}

// Guards against a crash that counts as a planned end, since the target's entry has left the list by the time at
// which an instance that was paused checks it, and against a planned end that counts as a crash.
func TestEndIsPlannedOnlyIfTargetWasLeavingBefore(t *testing.T) {
	for name, c := range map[string]struct {
		leavingFor time.Duration
		started    int64
		ends       int
	}{
		"leaving for seconds":              {2 * time.Second, sentTo, 0},
		"left the list at the same moment": {0, sentTo, 1},
		"left the list after it ended":     {-2 * time.Second, sentTo, 1},
		"the process before was leaving":   {2 * time.Second, sentTo - 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var since time.Time
			leavingSince := func(_ string, started int64) (time.Time, bool) {
				if since.IsZero() {
					since = time.Now().Add(-crashCheckDelay - c.leavingFor)
				}
				return since, started == c.started
			}
			s := &scriptedTarget{results: []probe{{result: probeRefused}}}
			require.Equal(t, []int{c.ends}, endsOf(t, s, Options{LeavingSince: leavingSince}, EndKnownAfter))
		})
	}
}

// Guards against a crash that never counts since the second check came while no instance of the target's failure domain
// was in reach, and against a partition that counts as a crash once it is over.
func TestEndThatCouldNotBeConfirmedIsCheckedAgain(t *testing.T) {
	refused := probe{result: probeRefused}
	for name, c := range map[string]struct {
		results      []probe
		cutFor       time.Duration
		during, then int
	}{
		"replaced since":                  {[]probe{refused, refused, {probeTold, replacement}}, 10 * time.Second, 0, 1},
		"still gone once it is in reach":  {[]probe{refused}, 10 * time.Second, 0, 1},
		"a partition, and the target ran": {[]probe{refused, refused, refused, {probeTold, sentTo}}, 10 * time.Second, 0, 0},
		"never in reach":                  {[]probe{refused}, time.Hour, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var cutUntil time.Time
			reaches := func(string) bool {
				if cutUntil.IsZero() {
					cutUntil = time.Now().Add(c.cutFor)
				}
				return time.Now().After(cutUntil)
			}
			got := endsOf(t, &scriptedTarget{results: c.results}, Options{ReachesDomain: reaches}, 2*time.Second, crashTTL+time.Minute)
			require.Equal(t, []int{c.during, c.then}, got)
		})
	}
}
