package limiter

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pairs is the number of seeded pairs of faults.
const pairs = 12

// TestMatrixRatePairs lets a fault strike a1 at a step while another goes on
// around the whole fleet.
func TestMatrixRatePairs(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	var strikes, arounds []cellFault
	for _, f := range cellFaults {
		if f.strike != nil {
			strikes = append(strikes, f)
		} else if f.name != "operators-racing" {
			arounds = append(arounds, f)
		}
	}
	for range pairs {
		s := cellSteps[random.IntN(len(cellSteps))]
		one := strikes[random.IntN(len(strikes))]
		other := arounds[random.IntN(len(arounds))]
		name := one.name + "+" + other.name
		t.Run(s.name+"/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPair(t, s, one, other) })
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, name, one.story+" "+other.story)
		})
	}
}

func runPair(t *testing.T, s cellStep, one, other cellFault) {
	t.Helper()
	w := newCellWorld(t)
	pass(time.Second)
	w.arm(s, one)
	go s.act(w)
	other.around(w)
	pass(2 * outage)
	w.expireDead()
	pass(5 * time.Second)
	w.requireWithinRate()
	w.requireWhole()
	w.requireWithinRate()
}
