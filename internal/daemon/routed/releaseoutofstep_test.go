package routed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var outOfStepSeeds = flag.Int("out-of-step-seeds", 1, "seeds of each case of the test of a release beside an instance that is out of step")

// outOfStep is a way in which one instance is cut off.
type outOfStep struct {
	// fromOthers and fromStore are what it is cut off from; oneWay cuts only what it is sent.
	fromOthers, fromStore, oneWay bool
	// lasts is how long it is.
	lasts time.Duration
}

func (o outOfStep) String() string {
	return fmt.Sprintf("others %t, store %t, one way %t, %v", o.fromOthers, o.fromStore, o.oneWay, o.lasts)
}

func outOfStepCases() (out []outOfStep) {
	for _, lasts := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second} {
		out = append(out, outOfStep{true, true, false, lasts}, outOfStep{true, true, true, lasts}, outOfStep{true, false, false, lasts}, outOfStep{false, true, false, lasts})
	}
	return out
}

// cutOff cuts an instance off, and returns what ends that.
func (fleet *testFleet) cutOff(inst *testInstance, how outOfStep) (heal func()) {
	var others []string
	if how.fromStore {
		others = append(others, storeIP)
	}
	for _, other := range fleet.instances {
		if other != inst && how.fromOthers {
			others = append(others, other.ip)
		}
	}
	if !how.oneWay {
		fleet.net.Partition([]string{inst.ip}, others)
		return func() { fleet.net.HealPartition([]string{inst.ip}, others) }
	}
	for _, other := range others {
		fleet.net.Block(other, inst.ip)
	}
	return func() {
		for _, other := range others {
			fleet.net.Unblock(other, inst.ip)
		}
	}
}

// Guards against streams that go on at another software version since one instance did not learn of the new version
// while the first streams began there at other instances.
func TestReleaseBesideInstanceOutOfStepMixesNoVersions(t *testing.T) {
	for _, how := range outOfStepCases() {
		for seed := range uint64(*outOfStepSeeds) {
			t.Run(fmt.Sprint(how, "/", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playReleaseOutOfStep(t, how, seed) })
			})
		}
	}
}

func playReleaseOutOfStep(t *testing.T, how outOfStep, seed uint64) {
	const streams, events = 60, 200
	rng := rand.New(rand.NewPCG(seed, 68))
	fleet := newVersionedFleet(t, 3, 3, []string{"v1", "v1"}, nil)
	sleep(runsForLong)
	apart := fleet.instances[0]
	heal := fleet.cutOff(apart, how)
	time.AfterFunc(how.lasts, heal)
	sleep(time.Duration(rng.Int64N(int64(how.lasts))))
	for d := range 3 {
		fleet.versionedTarget(fmt.Sprintf("new-%d", d), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.9", d), "v2", nil)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	began, wentOn, mixed := map[string]int{}, 0, 0
	for n := range streams {
		at := fleet.instances[1+rng.IntN(len(fleet.instances)-1)]
		leavesAfter := time.Duration(100+rng.IntN(500)) * time.Millisecond
		callers.Go(func() {
			stream := &receivedStream{waitsFor: leavesAfter}
			stream.attempt(t, at, fmt.Sprint("first-", n), events)
			if len(stream.data) == 0 {
				return
			}
			first := stream.versions()[0]
			before := len(stream.data)
			stream.waitsFor = time.Second
			stream.attempt(t, apart, fmt.Sprint("second-", n), events)
			mu.Lock()
			defer mu.Unlock()
			began[first]++
			if len(stream.data) > before {
				wentOn++
			}
			if len(stream.versions()) > 1 {
				mixed++
				t.Logf("stream %d of versions %v:\n%s", n, stream.versions(), apart.linesOf(fmt.Sprint("second-", n)))
			}
		})
		sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	callers.Wait()
	t.Logf("began %v, went on %d, of two versions %d", began, wentOn, mixed)
	require.NotZero(t, began["v2"])
	require.Zero(t, mixed)
}
