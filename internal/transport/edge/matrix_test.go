package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultCase is one fault at one step of the online path. run returns the failure
// that the checks found, or nil. A case without run is not applicable; its
// description gives the reason.
type faultCase struct {
	step, fault string
	// description says how the failure occurs and what a caller observes.
	description string
	opts        systemOptions
	run         func(s *system) error
}

func allFaultCases() []faultCase {
	var all []faultCase
	all = append(all, dispatchCases()...)
	all = append(all, answerCases()...)
	all = append(all, deliverCases()...)
	all = append(all, drainCases()...)
	return append(all, withdrawCases()...)
}

func TestMatrixOnline(t *testing.T) {
	for _, c := range allFaultCases() {
		t.Run(c.step+"/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", c.step, c.fault, c.description)
				return
			}
			require.NoError(t, c.run(newSystem(t, c.opts)), c.description)
			t.Logf("matrix step=%s fault=%s result=held", c.step, c.fault)
		})
	}
}

// faults lists the faults that each step must have a case for.
var faults = []string{
	"kill-before", "kill-after", "pause-past-lease", "log-down", "answer-lost", "duplicate", "late",
	"crossed", "cut-from-log", "cut-from-domain", "target-dead", "operators-racing",
}

func TestMatrixCoversEveryFaultAtEveryStep(t *testing.T) {
	seen := map[string]int{}
	for _, c := range allFaultCases() {
		seen[c.step+"/"+c.fault]++
	}
	for _, step := range []string{"dispatch", "answer", "deliver", "drain", "withdraw"} {
		for _, fault := range faults {
			require.Equal(t, 1, seen[step+"/"+fault], "%s/%s", step, fault)
		}
	}
	require.Len(t, seen, 5*len(faults))
}

// Checks that the matrix detects defects: with a decision of the code removed, a
// case fails that passes otherwise.
func TestMatrixOnlineDetectsDefects(t *testing.T) {
	cases := []struct {
		name   string
		defect defect
		id     string
	}{
		{"no echo check, whole", defect{skipEchoCheck: true}, "dispatch/crossed"},
		{"no echo check, streamed", defect{skipEchoCheck: true}, "answer/crossed"},
		{"retry of a call that is not idempotent", defect{retryLostAnswer: true}, "dispatch/answer-lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			step, fault, _ := strings.Cut(c.id, "/")
			for _, one := range allFaultCases() {
				if one.step == step && one.fault == fault {
					err := one.run(newDefectiveSystem(t, c.defect, one.opts))
					require.Error(t, err)
					t.Log("found:", err)
					return
				}
			}
			require.Fail(t, "no such case", c.id)
		})
	}
}

// firstError returns the first non-nil error.
func firstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// Checks the withdrawal of a key and a shutdown with a call in flight, without any
// fault. The edge does not use the log for either, so the cases with an unavailable
// log or domain would inject no fault here and are marked as not applicable.
func TestWithdrawalAndDrainWithoutAFault(t *testing.T) {
	require.NoError(t, checkWithdrawnKeyRejected(newSystem(t, systemOptions{})))
	require.NoError(t, drainWithoutFault(newSystem(t, systemOptions{limits: Limits{DrainDelay: time.Millisecond}})))
}

var errCaseNotReached = errors.New("the tested case did not occur")
