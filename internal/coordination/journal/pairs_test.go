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

// pairSeeds is the number of seeded pairs of faults.
const pairSeeds = 60

// pair is two faults: the first meets a step of instance a, the second meets
// whatever some instance appends a little later.
type pair struct {
	step          step
	first, second fault
	victim        int
	delay         time.Duration
}

func pairOf(seed uint64) pair {
	random := rand.New(rand.NewPCG(seed, 0))
	return pair{
		step:   steps[random.IntN(len(steps))],
		first:  faults[random.IntN(len(faults))],
		second: faults[random.IntN(len(faults))],
		victim: random.IntN(3),
		delay:  time.Duration(random.Int64N(int64(15 * time.Second))),
	}
}

func (p pair) name() string {
	return fmt.Sprintf("%s/%s+%s-%d", p.step.name, p.first.name, p.second.name, p.victim)
}

// TestMatrixPairs meets steps with two faults at once. What anybody was told
// must still be true, and those who live must work again in the end.
func TestMatrixPairs(t *testing.T) {
	for seed := range uint64(pairSeeds) {
		p := pairOf(seed)
		t.Run(p.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Empty(t, runPair(t, p)) })
			t.Logf("matrix step=%s fault=%s+%s result=held reason=%q", p.step.name, p.first.name, p.second.name, "")
		})
	}
}

func runPair(t *testing.T, p pair) []string {
	w := newWorld(t)
	defer w.close()
	a, _, _ := w.begin()
	w.strikeOnce(p.step, p.first)
	victim := w.nodes[p.victim]
	w.later(p.delay, func() {
		w.strikeAppend(victim, func(*protocol.Record) bool { return true }, p.second.strike)
	})
	if p.step.prompt != nil {
		p.step.prompt(w, a)
	}
	if p.step.submit != nil {
		w.judge(w.submitPatiently(a, p.step.submit(w, a)), p.step.matches)
	}
	<-time.After(3*away + 15*time.Second)
	if p.first.kills || p.second.kills {
		w.start("later", "a")
	}
	<-time.After(away)
	w.settleDown()
	if p.step.verify != nil {
		p.step.verify(w)
	}
	return w.violations
}
