package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cell is one fault at one step of the online path. run gives what the checks
// found; nil is "held". A cell without run is not applicable, for the reason
// in its story.
type cell struct {
	step, fault string
	// story tells how the failure comes about and what a user notices.
	story string
	opts  systemOptions
	run   func(s *system) error
}

func allCells() []cell {
	var all []cell
	all = append(all, dispatchCells()...)
	all = append(all, answerCells()...)
	all = append(all, deliverCells()...)
	all = append(all, drainCells()...)
	return append(all, withdrawCells()...)
}

func TestMatrixOnline(t *testing.T) {
	for _, c := range allCells() {
		t.Run(c.step+"/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", c.step, c.fault, c.story)
				return
			}
			require.NoError(t, c.run(newSystem(t, c.opts)), c.story)
			t.Logf("matrix step=%s fault=%s result=held", c.step, c.fault)
		})
	}
}

// faults are the brief's, each of which every step must name.
var faults = []string{
	"kill-before", "kill-after", "pause-past-lease", "log-down", "answer-lost", "duplicate", "late",
	"crossed", "cut-from-log", "cut-from-domain", "target-dead", "operators-racing",
}

func TestMatrixNamesEveryFaultAtEveryStep(t *testing.T) {
	seen := map[string]int{}
	for _, c := range allCells() {
		seen[c.step+"/"+c.fault]++
	}
	for _, step := range []string{"dispatch", "answer", "deliver", "drain", "withdraw"} {
		for _, fault := range faults {
			require.Equal(t, 1, seen[step+"/"+fault], "%s/%s", step, fault)
		}
	}
	require.Len(t, seen, 5*len(faults))
}

// The matrix can turn red: with a decision taken out, a cell fails that
// otherwise holds.
func TestBrokenVariantsTurnCellsRed(t *testing.T) {
	cases := []struct {
		name string
		v    variant
		cell string
	}{
		{"no echo check, whole", variant{trustEcho: true}, "dispatch/crossed"},
		{"no echo check, streamed", variant{trustEcho: true}, "answer/crossed"},
		{"retry of a call that may not be repeated", variant{resend: true}, "dispatch/answer-lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			step, fault, _ := strings.Cut(c.cell, "/")
			for _, one := range allCells() {
				if one.step == step && one.fault == fault {
					err := one.run(newVariantSystem(t, c.v, one.opts))
					require.Error(t, err)
					t.Log("found:", err)
					return
				}
			}
			require.Fail(t, "no such cell", c.cell)
		})
	}
}

// first gives the first error of checks that were made in order.
func first(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// A withdrawn key, and a shutdown with a call in flight, without any fault. The
// edge meets the log at neither, so the cells of a log or a domain that is away
// would strike nothing here and are not counted as held.
func TestWithdrawalAndDrainWithoutAFault(t *testing.T) {
	require.NoError(t, withdrawnIsRefused(newSystem(t, systemOptions{})))
	require.NoError(t, drainPlain(newSystem(t, systemOptions{limits: Limits{DrainDelay: time.Millisecond}})))
}

var errNoEvidence = errors.New("the case did not come about")
