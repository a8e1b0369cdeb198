package quarantine

import "github.com/VictoriaMetrics/metrics"

// probeResult is what a check found at the address of a target.
type probeResult int

const (
	// probeRefused: no process listens. The zero value stands for no check.
	probeRefused probeResult = iota + 1
	// probeSilent: a connection was accepted, perhaps by a supervisor that holds the port, and no process answered.
	probeSilent
	// probeAccepted: a process accepts connections and does not tell when it started.
	probeAccepted
	// probeTold: a process has told when it started.
	probeTold
)

// String returns the name of the result in logs.
func (r probeResult) String() string {
	return [...]string{"none", "refused", "silent", "accepted", "told"}[r]
}

// probe is the result of one check.
type probe struct {
	result probeResult
	// started is when the process there started, in Unix milliseconds, if it told.
	started int64
}

// endReason says why a lost request counts as met by the end of its target, or does not. Its values appear in logs
// and metrics.
type endReason string

const (
	// endPlanned: the target was leaving.
	endPlanned endReason = "planned"
	// endRuns: the process that the request was sent to runs, as it has told itself.
	endRuns endReason = "runs"
	// endReplaced: another process runs at its address, as that has told.
	endReplaced endReason = "replaced"
	// endListedAnew: another incarnation is listed at its address.
	endListedAnew endReason = "listed_anew"
	// endGone: no process answered at its address at two checks.
	endGone endReason = "gone"
	// endUnreachable: the same, but no instance of its failure domain is reached either.
	endUnreachable endReason = "unreachable"
	// endAccepts: a process accepts connections at its address, and does not tell which it is.
	endAccepts endReason = "accepts"
	// endUnknown: the check was interrupted, or is not complete.
	endUnknown endReason = "unknown"
)

// endChecks counts the targets that were checked by the result.
var endChecks = newEndChecks()

func newEndChecks() map[endReason]*metrics.Counter {
	out := map[endReason]*metrics.Counter{}
	for _, reason := range []endReason{endPlanned, endRuns, endReplaced, endListedAnew, endGone, endUnreachable, endAccepts, endUnknown} {
		out[reason] = metrics.NewCounter(`target_end_checks_total{result="` + string(reason) + `"}`)
	}
	return out
}

// finding is what a check of a target has found.
type finding struct {
	state  EndState
	reason endReason
	probe  probe
}

// judgeProcess judges by the process that answered, if it told when it started. A connection that is accepted proves
// nothing: the process may be another one, started at once in place of the one that ended.
func (p probe) judgeProcess(started int64) (finding, bool) {
	switch {
	case p.result != probeTold || started == 0:
		return finding{}, false
	case p.started == started:
		return finding{state: EndDismissed, reason: endRuns}, true
	default:
		return finding{state: EndConfirmed, reason: endReplaced}, true
	}
}

// judgeFirst judges by the first check of a target whose process started at some time, 0 if that is not known.
func (p probe) judgeFirst(started int64) finding {
	if found, ok := p.judgeProcess(started); ok {
		return found
	}
	if p.result == probeRefused || p.result == probeSilent {
		return finding{state: EndSuspected, reason: endUnknown}
	}
	return finding{state: EndDismissed, reason: endAccepts}
}

// judgeSecond judges by the second check. reached reports whether an instance of the target's failure domain is
// reached, listedAnew whether another incarnation is listed at the address.
func (p probe) judgeSecond(started int64, reached, listedAnew bool) finding {
	if found, ok := p.judgeProcess(started); ok {
		return found
	}
	switch {
	case !reached:
		return finding{state: EndDismissed, reason: endUnreachable}
	case p.result == probeRefused || p.result == probeSilent:
		return finding{state: EndConfirmed, reason: endGone}
	case listedAnew:
		return finding{state: EndConfirmed, reason: endListedAnew}
	default:
		return finding{state: EndDismissed, reason: endAccepts}
	}
}
