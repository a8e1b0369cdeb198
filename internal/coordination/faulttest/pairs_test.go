package faulttest

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
)

// pairCount is the number of fault pairs, and pairSeed the seed from which they
// are drawn.
const (
	pairCount = 40
	pairSeed  = 20261202
)

// pair is two faults injected into the same job, one after the other or together.
type pair struct{ first, second cell }

type cell struct {
	step  step
	fault fault
}

// drawPairs draws pairs of faults at two different steps of a job. At most one
// fault of a pair kills an instance, so that two of three instances remain. No
// fault deletes data: the cells with a single fault cover that.
func drawPairs() []pair {
	random := rand.New(rand.NewPCG(pairSeed, 0))
	var cells []cell
	for _, s := range batchSteps {
		for _, f := range allFaults {
			if _, none := s.excluded[f]; !none && f != retentionExpired && s.name != "cancel" && s.name != "takeover" {
				cells = append(cells, cell{s, f})
			}
		}
	}
	var pairs []pair
	for len(pairs) < pairCount {
		p := pair{cells[random.IntN(len(cells))], cells[random.IntN(len(cells))]}
		if p.first.step.at == p.second.step.at || killsInstance(p.first.fault) && killsInstance(p.second.fault) {
			continue
		}
		pairs = append(pairs, p)
	}
	return pairs
}

func killsInstance(f fault) bool { return f == killBefore || f == killAfter }

// Two faults are injected into the same job, for example the crash of an instance
// while the log is down. The checks are those of a single fault.
func TestMatrixPairs(t *testing.T) {
	for _, p := range drawPairs() {
		step := p.first.step.name + "+" + p.second.step.name
		name := string(p.first.fault) + "+" + string(p.second.fault)
		t.Run(step+"/"+name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				first := newInjection(p.first.step.at, p.first.fault, true)
				second := newInjection(p.second.step.at, p.second.fault, true)
				tf := newTestFleet(t, nodes, variant{}, first, second)
				v := runJob(tf)
				if !first.wasTriggered() || !second.wasTriggered() {
					v.add("a fault was not injected")
				}
				for _, violation := range v.messages {
					t.Error(violation)
				}
				if len(v.messages) == 0 {
					t.Logf("matrix step=%s fault=%s result=held reason=%q", step, name, "checked")
				}
			})
		})
	}
}
