package limiter

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pairCount is the number of pairs of faults, which are chosen with a fixed
// seed.
const pairCount = 12

// TestMatrixRatePairs injects a fault at a step of a1 while another fault
// affects the whole fleet.
func TestMatrixRatePairs(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	var injected, background []matrixFault
	for _, f := range matrixFaults {
		if f.inject != nil {
			injected = append(injected, f)
		} else if f.name != "operators-racing" {
			background = append(background, f)
		}
	}
	for range pairCount {
		s := matrixSteps[random.IntN(len(matrixSteps))]
		one := injected[random.IntN(len(injected))]
		other := background[random.IntN(len(background))]
		name := one.name + "+" + other.name
		t.Run(s.name+"/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPair(t, s, one, other) })
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, name, one.description+" "+other.description)
		})
	}
}

func runPair(t *testing.T, s matrixStep, one, other matrixFault) {
	t.Helper()
	m := newMatrixFleet(t)
	sleep(time.Second)
	m.arm(s, one)
	go s.trigger(m)
	other.background(m)
	sleep(2 * outage)
	m.expirePaused()
	sleep(5 * time.Second)
	m.requireWithinRate()
	m.requireRecovered()
	m.requireWithinRate()
}
