package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// pairSeeds is the number of fault pairs. Each is drawn from its own random
// seed.
const pairSeeds = 60

// faultPair is two faults. The first is injected into a step of instance a, the
// second into the next append of the victim after the delay.
type faultPair struct {
	step          step
	first, second fault
	victim        int
	delay         time.Duration
}

func randomPair(seed uint64) faultPair {
	random := rand.New(rand.NewPCG(seed, 0))
	return faultPair{
		step:   steps[random.IntN(len(steps))],
		first:  faults[random.IntN(len(faults))],
		second: faults[random.IntN(len(faults))],
		victim: random.IntN(3),
		delay:  time.Duration(random.Int64N(int64(15 * time.Second))),
	}
}

func (p faultPair) name() string {
	return fmt.Sprintf("%s/%s+%s-%d", p.step.name, p.first.name, p.second.name, p.victim)
}

// TestMatrixPairs runs steps with two faults. Every outcome that a submitter
// received must still be true, and the instances that are alive must work again
// at the end.
func TestMatrixPairs(t *testing.T) {
	for seed := range uint64(pairSeeds) {
		p := randomPair(seed)
		t.Run(p.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Empty(t, runPair(t, p)) })
			t.Logf("matrix step=%s fault=%s+%s result=held reason=%q", p.step.name, p.first.name, p.second.name, "")
		})
	}
}

func runPair(t *testing.T, p faultPair) []string {
	cl := newCluster(t)
	defer cl.close()
	a, _, _ := cl.startAll()
	cl.injectOnce(p.step, p.first)
	victim := cl.nodes[p.victim]
	cl.after(p.delay, func() {
		cl.injectOnAppend(victim, func(*protocol.Record) bool { return true }, p.second.inject)
	})
	if p.step.trigger != nil {
		p.step.trigger(cl, a)
	}
	if p.step.submit != nil {
		cl.checkOutcome(cl.submitWithTimeout(a, p.step.submit(cl, a)), p.step.matches)
	}
	<-time.After(3*faultDuration + 15*time.Second)
	if p.first.kills || p.second.kills {
		cl.startInstance("later", "a")
	}
	<-time.After(faultDuration)
	cl.checkRecovered()
	if p.step.verify != nil {
		p.step.verify(cl)
	}
	return cl.violations
}
