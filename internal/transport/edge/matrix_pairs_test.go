package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

// namedFault is a fault that a target can show beside another target's.
type namedFault struct {
	name   string
	faults target.Faults
}

func pairFaults() []namedFault {
	return []namedFault{
		{"refused", target.Faults{Refuse: true}},
		{"failed", target.Faults{Fail: true}},
		{"delayed", target.Faults{DelayMS: 5}},
		{"answer-lost", target.Faults{LoseAnswer: true}},
		{"cut", target.Faults{CutAfter: 4}},
		{"ended-early", target.Faults{EndAfter: 6}},
		{"crossed", target.Faults{Cross: true, CrossWaitMS: 1}},
		{"frozen", target.Faults{Freeze: true}},
	}
}

const pairSeed = 20261202

// Two targets are faulty at the same time, each in its own way; the third is
// well. Repeatable calls must all come out whole, and a call that may not be
// repeated must run at most once and be called "not run" only if it is true.
func TestMatrixOnlinePairs(t *testing.T) {
	all := pairFaults()
	random := rand.New(rand.NewPCG(pairSeed, 0))
	for i, one := range all {
		for _, two := range all[i:] {
			fault := one.name + "+" + two.name
			swap := random.IntN(2) == 0
			t.Run("answer/"+fault, func(t *testing.T) {
				s := newSystem(t, systemOptions{policy: shortPolicy})
				first, second := one.faults, two.faults
				if swap {
					first, second = second, first
				}
				s.faultTwo(first, second)
				require.NoError(t, s.chatWhole("riser"))
				require.NoError(t, s.chatStreamed("pump"))
				require.NoError(t, s.plainUnder(first))
				t.Logf("matrix step=answer fault=%s result=held", fault)
			})
		}
	}
}

// plainUnder makes a call that may not be repeated while its target is faulty.
func (s *system) plainUnder(faults target.Faults) error {
	if faults.Freeze {
		faults = target.Faults{LoseAnswer: true}
	}
	s.plain.SetFaults(faults)
	got := s.plainCall("valve", nil)
	runs := s.runs("valve")
	switch {
	case runs > 1:
		return fmt.Errorf("it ran %d times", runs)
	case got.refusal.RunState == protocol.NotRun && runs != 0:
		return fmt.Errorf("it ran and was called not run")
	case got.refusal.Code == "" && got.status == 200 && runs != 1:
		return fmt.Errorf("it was answered and did not run")
	}
	return nil
}
