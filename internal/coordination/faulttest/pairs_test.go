package faulttest

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
)

// pairCount is the number of pairs of faults that are drawn, and pairSeed what
// they are drawn from.
const (
	pairCount = 40
	pairSeed  = 20261202
)

// pair is two faults that strike one after the other or together.
type pair struct{ first, second cell }

type cell struct {
	step  step
	fault fault
}

// drawPairs draws pairs whose first fault strikes a step of a job and whose
// second strikes any step. At most one kills, so that the fleet of three lives
// on, and none loses data, which the single cells cover.
func drawPairs() []pair {
	random := rand.New(rand.NewPCG(pairSeed, 0))
	var cells []cell
	for _, s := range batchSteps {
		for _, f := range allFaults {
			if _, none := s.none[f]; !none && f != trimmed && s.name != "cancel" && s.name != "takeover" {
				cells = append(cells, cell{s, f})
			}
		}
	}
	var pairs []pair
	for len(pairs) < pairCount {
		p := pair{cells[random.IntN(len(cells))], cells[random.IntN(len(cells))]}
		if p.first.step.at == p.second.step.at || kills(p.first.fault) && kills(p.second.fault) {
			continue
		}
		pairs = append(pairs, p)
	}
	return pairs
}

func kills(f fault) bool { return f == killBefore || f == killAfter }

// Two faults strike the same job, such as an instance that dies while the log
// is down. What holds under one must hold under both.
func TestMatrixPairs(t *testing.T) {
	for _, p := range drawPairs() {
		step := p.first.step.name + "+" + p.second.step.name
		name := string(p.first.fault) + "+" + string(p.second.fault)
		t.Run(step+"/"+name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				first := newPlan(p.first.step.at, p.first.fault, true)
				second := newPlan(p.second.step.at, p.second.fault, true)
				w := newWorld(t, nodes, variant{}, first, second)
				v := runJob(w)
				if !first.happened() || !second.happened() {
					v.add("a fault did not strike")
				}
				for _, sentence := range v.wrong {
					t.Error(sentence)
				}
				if len(v.wrong) == 0 {
					t.Logf("matrix step=%s fault=%s result=held reason=%q", step, name, "checked")
				}
			})
		})
	}
}
