package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
)

// processStep is what a check of a process finds some time after a request was lost there.
type processStep struct {
	after time.Duration
	found probe
	// running, run and progress are what the process reports of its runs, dataAfter when data last came from it.
	running   int
	run       string
	progress  uint64
	dataAfter time.Duration
	listed    bool
	cut       bool
	noReport  bool
}

// judgeSteps returns what is found of a request that was lost at a process, after each check of that.
func judgeSteps(left bool, steps []processStep) (found []finding) {
	start := time.Unix(1000, 0)
	record := processRecord{started: sentTo, tellsStart: true}
	lost := LostRequest{Target: "t", Started: sentTo, Left: left, At: start, DataAt: start}
	known := endOpen
	for _, step := range steps {
		now := start.Add(step.after)
		record.addProbe(now, step.found)
		if left && record.answers() && !step.noReport {
			report := exchange.Report{Load: exchange.Load{Running: step.running}}
			if step.running > 0 {
				report.Runs, report.Progress = []string{step.run}, []uint64{step.progress}
			}
			record.addReport(now, &report)
		}
		record.dataAt = start.Add(step.dataAfter)
		record.reached, record.listedAnew = !step.cut, step.listed
		f := record.judge(now, &lost, known, step.after)
		known = f.state
		found = append(found, f)
	}
	return found
}

// Guards against a target that stops or hangs and is killed later whose end counts against no request, and against one
// that is slow or paused, and goes on, that counts as ended.
func TestEndCountsByWhenTheProcessEnded(t *testing.T) {
	const soon, then, later, late = 300 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second
	runs, other := probe{probeTold, sentTo}, probe{probeTold, replacement}
	refused, silent, untold := probe{result: probeRefused}, probe{result: probeSilent}, probe{result: probeAccepted}
	for name, c := range map[string]struct {
		left   bool
		steps  []processStep
		states []EndState
		final  bool
	}{
		"stops and is killed": {true, []processStep{{after: soon, found: silent}, {after: later, found: silent}, {after: late, found: refused}},
			[]EndState{EndSuspected, EndConfirmed, EndConfirmed}, true},
		"stops and is replaced": {true, []processStep{{after: soon, found: silent}, {after: later, found: other}},
			[]EndState{EndSuspected, EndConfirmed}, true},
		"is paused and goes on": {true, []processStep{{after: soon, found: silent}, {after: later, found: silent}, {after: late, found: runs}},
			[]EndState{EndSuspected, EndConfirmed, EndRefuted}, true},
		"hangs and is killed": {true, []processStep{
			{after: soon, found: runs, running: 2, progress: 7}, {after: then, found: runs, running: 2, progress: 7}, {after: late, found: other}},
			[]EndState{endOpen, EndSuspected, EndConfirmed}, true},
		"is slow": {true, []processStep{
			{after: soon, found: runs, running: 2, progress: 7}, {after: later, found: runs, running: 2, progress: 8}},
			[]EndState{endOpen, EndRefuted}, true},
		"works on other runs each time": {true, []processStep{
			{after: soon, found: runs, running: 2, run: "a"}, {after: then, found: runs, running: 2, run: "b"}},
			[]EndState{endOpen, EndRefuted}, true},
		"hangs for a while": {true, []processStep{
			{after: soon, found: runs, running: 2, progress: 7}, {after: then, found: runs, running: 2, progress: 7}, {after: late, found: runs, running: 2, progress: 9}},
			[]EndState{endOpen, EndSuspected, EndRefuted}, true},
		"sends data to other requests": {true, []processStep{{after: later, found: runs, running: 2, dataAfter: later / 2}}, []EndState{EndRefuted}, true},
		"sent data to others before it hung": {true, []processStep{
			{after: soon, found: runs, running: 2, dataAfter: soon / 2}, {after: then, found: runs, running: 2, dataAfter: soon / 2}, {after: late, found: runs, running: 2}},
			[]EndState{endOpen, EndSuspected, EndConfirmed}, false},
		"has nothing to do": {true, []processStep{{after: soon, found: runs}}, []EndState{EndRefuted}, true},
		"tells its start, and nothing of its work": {true, []processStep{
			{after: soon, found: silent}, {after: later, found: runs, noReport: true}, {after: silentTTL + late, found: runs, noReport: true}},
			[]EndState{EndSuspected, EndSuspected, EndRefuted}, true},
		"its domain is out of reach": {true, []processStep{{after: soon, found: silent, cut: true}, {after: later, found: silent, cut: true}, {after: late, found: runs}},
			[]EndState{EndSuspected, EndDismissed, EndRefuted}, true},
		"tells no start, listed anew late": {false, []processStep{{after: soon, found: untold}, {after: later, found: untold}, {after: 2 * later, found: untold, listed: true}},
			[]EndState{EndUndecided, EndUndecided, EndConfirmed}, true},
		"tells no start, refuses at first, listed anew when the time is over": {false, []processStep{{after: soon, found: refused}, {after: later, found: untold}, {after: late, found: untold, listed: true}},
			[]EndState{EndSuspected, EndSuspected, EndConfirmed}, true},
		"tells no start, never listed anew": {false, []processStep{{after: soon, found: untold}, {after: later, found: untold}, {after: late, found: untold}},
			[]EndState{EndUndecided, EndUndecided, EndDismissed}, true},
		"tells no start, ends later": {false, []processStep{{after: soon, found: untold}, {after: later, found: refused}}, []EndState{EndUndecided, EndDismissed}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var states []EndState
			found := judgeSteps(c.left, c.steps)
			for _, f := range found {
				states = append(states, f.state)
			}
			require.Equal(t, c.states, states)
			require.Equal(t, c.final, found[len(found)-1].final)
		})
	}
}
