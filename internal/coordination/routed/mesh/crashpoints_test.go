package mesh

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quarantine"
)

// outputTime is how long a target would take for the whole output of a request that crashes it at a random
// point, eventTime the time for one event.
const (
	outputTime = 800 * time.Millisecond
	eventTime  = 20 * time.Millisecond
)

// crashAtRandomPoint runs a request that crashes its target after some of the events that are left.
func (f *crashMesh) crashAtRandomPoint(rng *rand.Rand, p *place, request quarantine.Request, position int, crashing *crashingRequest) int {
	t := f.runningTarget()
	guard := p.process.guard
	if known, _ := guard.Ends(request); known+1 >= quarantine.MaxEndedTargets {
		sleep(quarantine.EndKnownAfter)
	}
	if t == nil || guard.Check(request).Closed {
		return position
	}
	f.mu.Lock()
	if len(crashing.ends) >= quarantine.MaxEndedTargets {
		crashing.runsAfterThird++
	}
	f.mu.Unlock()
	events := rng.IntN(max(1, int(outputTime/eventTime)-position))
	select {
	case <-time.After(beginTime + time.Duration(events)*eventTime):
		f.mu.Lock()
		crashing.ends = append(crashing.ends, time.Now())
		f.mu.Unlock()
		f.crash(t.id)
	case <-t.ended:
		events = 0
	}
	guard.Lost(quarantine.LostRequest{
		Request: request, Target: t.id, Address: t.id, Started: t.started, At: time.Now(),
		Events: events, Position: position + events, Ran: time.Duration(events) * eventTime,
	})
	return position + events
}

// Guards against requests that go on to crash targets in a fleet of any size since they crash each at another
// point of their output, and against sound ones that are closed with them.
func TestRequestsThatCrashAtRandomPointsAreClosedInFleetsOfAllSizes(t *testing.T) {
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
					go f.repeatAtRandomPoints(rand.New(rand.NewPCG(uint64(n), 59)), key, crashing[key])
				}
				f.soundRequests(8*time.Second, perSecond, f.sound)
				sleep(time.Second)
				f.reportRandomPoints(t, instances, crashing)
			})
		})
	}
}

// repeatAtRandomPoints sends such a request again and again, each time at another instance.
func (f *crashMesh) repeatAtRandomPoints(rng *rand.Rand, key string, crashing *crashingRequest) {
	position := 0
	for n := range callerTries {
		position = f.crashAtRandomPoint(rng, f.randomPlace(), quarantine.Request{ID: fmt.Sprint(key, "-", n), Key: key}, position, crashing)
		sleep(time.Duration(30+rng.IntN(60)) * time.Millisecond)
	}
}

// reportRandomPoints logs the figures of a run and checks them.
func (f *crashMesh) reportRandomPoints(t *testing.T, instances int, crashing map[string]*crashingRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mostEnds, after := 0, 0
	for _, request := range crashing {
		mostEnds, after = max(mostEnds, len(request.ends)), max(after, request.runsAfterThird)
	}
	soundClosed := strings.Count(f.logs.text.String(), "event=request_closed from=evidence closed_parts=request:sound-")
	t.Logf("%d instances: %d requests crash %d targets, %d by one at most, %d runs after the third at most; sound requests completed at the first try %.3f, before %.3f, closed %d times",
		instances, len(crashing), len(f.crashes), mostEnds, after, share(f.sound), share(f.soundBefore), soundClosed)
	require.GreaterOrEqual(t, mostEnds, quarantine.MaxEndedTargets)
	require.LessOrEqual(t, after, 1, "one may be on its way")
	require.GreaterOrEqual(t, share(f.sound), soundShare*share(f.soundBefore))
	require.Zero(t, soundClosed)
}
