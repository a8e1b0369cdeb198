package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

// namedFault is a fault that is combined with a fault of another target.
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

// Two of three targets fail at the same time, each with a fault of its own.
// Repeatable calls must all return complete responses. A call that is not idempotent
// must run at most once, and may be reported as not_run only if it did not run.
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
				s.setTwoFaults(first, second)
				require.NoError(t, s.checkChat("riser"))
				require.NoError(t, s.checkChatStream("pump"))
				require.NoError(t, s.checkPlainCall(first))
				t.Logf("matrix step=answer fault=%s result=held", fault)
			})
		}
	}
}

// checkPlainCall makes a call that is not idempotent to a faulty target and checks
// its run state.
func (s *system) checkPlainCall(faults target.Faults) error {
	if faults.Freeze {
		faults = target.Faults{LoseAnswer: true}
	}
	s.plain.SetFaults(faults)
	got := s.plainCall("valve", nil)
	runs := s.executions("valve")
	switch {
	case runs > 1:
		return fmt.Errorf("the call ran %d times", runs)
	case got.refusal.RunState == protocol.NotRun && runs != 0:
		return fmt.Errorf("the call ran but was reported as not_run")
	case got.refusal.Code == "" && got.status == 200 && runs != 1:
		return fmt.Errorf("the call succeeded but did not run")
	}
	return nil
}
