package mesh

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quarantine"
)

const (
	// runTime is how long a target runs a sound request.
	runTime = 400 * time.Millisecond
	// maxAttempts is the number of targets that one attempt of a caller is sent to at most.
	maxAttempts = 2
	// callerTries is the number of attempts of a caller whose request crashes targets.
	callerTries = 10
)

// crashingRequest is a request that crashes each target that begins to answer it.
type crashingRequest struct {
	ends []time.Time
	// runsAfterThird is the number of its runs that began after the third target had ended.
	runsAfterThird int
}

// runAt runs a request at one target. It reports whether the target ended.
func (f *crashMesh) runAt(t *crashTarget, crashing *crashingRequest) (ended bool, ran time.Duration) {
	began := time.Now()
	if crashing == nil {
		timer := time.NewTimer(runTime)
		defer timer.Stop()
		select {
		case <-timer.C:
			return false, runTime
		case <-t.ended:
			return true, time.Since(began)
		}
	}
	f.mu.Lock()
	if len(crashing.ends) >= quarantine.MaxEndedTargets {
		crashing.runsAfterThird++
	}
	f.mu.Unlock()
	select {
	case <-time.After(beginTime):
		f.mu.Lock()
		crashing.ends = append(crashing.ends, time.Now())
		f.mu.Unlock()
		f.crash(t.id)
	case <-t.ended:
	}
	return true, 0
}

// attempt sends a request through an instance to some targets, as a relay does. It returns the number of
// targets that it was sent to, and whether the last one completed it.
func (f *crashMesh) attempt(p *place, request quarantine.Request, crashing *crashingRequest) (runs int, completed bool) {
	guard := p.process.guard
	for runs < maxAttempts {
		t := f.runningTarget()
		if known, _ := guard.Ends(request); known+runs >= quarantine.MaxEndedTargets {
			sleep(quarantine.EndKnownAfter)
		}
		if t == nil || guard.Check(request).Closed {
			return runs, false
		}
		runs++
		ended, ran := f.runAt(t, crashing)
		if !ended {
			guard.Completed(request)
			return runs, true
		}
		guard.Lost(quarantine.LostRequest{
			Request: request, Target: t.id, Address: t.id, Started: t.started, At: time.Now(),
			Events: int(ran / (20 * time.Millisecond)), Position: int(ran / (20 * time.Millisecond)),
		})
	}
	return runs, false
}

// randomPlace returns some instance.
func (f *crashMesh) randomPlace() *place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[f.rng.IntN(len(f.places))]
}

// repeat sends a crashing request again and again, each time at another instance, some ten milliseconds
// after the last answer.
func (f *crashMesh) repeat(key string, crashing *crashingRequest) {
	for n := range callerTries {
		f.attempt(f.randomPlace(), quarantine.Request{ID: fmt.Sprint(key, "-", n), Key: key}, crashing)
		f.mu.Lock()
		pause := 30 + f.rng.IntN(60)
		f.mu.Unlock()
		sleep(time.Duration(pause) * time.Millisecond)
	}
}

// soundRequests sends sound requests for a time, so many a second, and counts those that were served at
// the first try.
func (f *crashMesh) soundRequests(d time.Duration, perSecond float64, counts map[bool]int) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); sleep(step) {
		f.mu.Lock()
		due := poisson(f.rng, perSecond*step.Seconds())
		f.mu.Unlock()
		for range due {
			p := f.randomPlace()
			f.mu.Lock()
			key := fmt.Sprint("request:sound-", f.rng.Uint64())
			f.mu.Unlock()
			go func() {
				_, completed := f.attempt(p, quarantine.Request{Key: key}, nil)
				f.mu.Lock()
				defer f.mu.Unlock()
				counts[completed]++
			}()
		}
	}
}

// Guards against requests that end more than three targets each while the news of it travels through a
// large fleet, against sound ones that are closed with them, and against reports that take too much.
func TestCrashingRequestsAreClosedInFleetsOfAllSizes(t *testing.T) {
	for size := range strings.SplitSeq(*crashSizes, ",") {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var instances int
				_, err := fmt.Sscan(size, &instances)
				require.NoError(t, err)
				f := newCrashMesh(t, 1, instances)
				perSecond := 10 * float64(instances)
				f.soundRequests(3*time.Second, perSecond, f.soundBefore)
				crashing := map[string]*crashingRequest{}
				for n := range max(1, instances/17) {
					key := fmt.Sprint("request:crashes-", n)
					crashing[key] = &crashingRequest{}
					go f.repeat(key, crashing[key])
				}
				f.soundRequests(5*time.Second, perSecond, map[bool]int{})
				f.soundRequests(3*time.Second, perSecond, f.sound)
				sleep(time.Second)
				f.reportRequests(t, instances, crashing)
			})
		})
	}
}

// reportRequests logs the figures of a run and checks them.
func (f *crashMesh) reportRequests(t *testing.T, instances int, crashing map[string]*crashingRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mostEnds, after, most := 0, 0, 0
	for _, request := range crashing {
		mostEnds, after = max(mostEnds, len(request.ends)), max(after, request.runsAfterThird)
	}
	for _, seconds := range f.sent {
		for _, size := range seconds {
			most = max(most, size)
		}
	}
	text := f.logs.text.String()
	soundClosed := strings.Count(text, "event=request_closed from=evidence closed_parts=request:sound-")
	t.Logf("%d instances: %d requests crash %d targets, %d by one at most, %d runs after the third at most; sound requests completed at the first try %.3f, before %.3f, closed %d times; reports sent by one instance in a second %d bytes at most, by each in all %d",
		instances, len(crashing), len(f.crashes), mostEnds, after, share(f.sound), share(f.soundBefore), soundClosed, most, f.received/instances)
	require.NotEmpty(t, f.crashes)
	require.LessOrEqual(t, mostEnds, quarantine.MaxEndedTargets)
	require.LessOrEqual(t, after, 1, "one may be on its way")
	require.GreaterOrEqual(t, share(f.sound), soundShare*share(f.soundBefore))
	require.Zero(t, soundClosed)
}
