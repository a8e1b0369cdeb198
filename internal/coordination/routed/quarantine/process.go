package quarantine

import (
	"slices"
	"time"

	"merlintiller/internal/protocol/exchange"
)

// processRecord is what an instance knows of the process of a target, from all checks of it since requests were lost
// there. Whether the process ended under such a request is a function of it.
//
// An end counts by when the process ended, not by how a request was lost: a process that hangs, writes a core dump or
// whose host is silent closes no connection, and this instance leaves it before it ends.
type processRecord struct {
	// started is the start of the process, 0 if it is not known. tellsStart reports whether targets can be asked.
	started    int64
	tellsStart bool
	// probe is what the last check has found.
	probe probe
	// unansweredSince is since when no check was answered, zero if the last one was. answeredAt is when one last was.
	unansweredSince, answeredAt time.Time
	// report is the last report, at reportedAt. stuckSince is the time of the earliest one since which no run has gone on,
	// workedAt that of the last one in which one had, or in which there were other runs.
	report                           *exchange.Report
	reportedAt, stuckSince, workedAt time.Time
	// dataAt is when this instance last received data from the target.
	dataAt time.Time
	// reached reports whether an instance of the target's failure domain is reached, listedAnew whether another
	// incarnation is listed at its address.
	reached, listedAnew bool
}

// addProbe adds what a check has found.
func (p *processRecord) addProbe(now time.Time, found probe) {
	p.probe = found
	switch found.result {
	case probeRefused, probeSilent:
		if p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
	default:
		p.unansweredSince, p.answeredAt = time.Time{}, now
	}
}

// addReport adds what the process reports of its runs.
func (p *processRecord) addReport(now time.Time, latest *exchange.Report) {
	switch {
	case p.report == nil:
		p.stuckSince = now
	case !standsStill(p.report, latest):
		p.stuckSince, p.workedAt = now, now
	}
	p.report, p.reportedAt = latest, now
}

// standsStill reports whether runs are in two reports, and none of them has gone on. A process that hangs may accept
// further runs.
func standsStill(before, after *exchange.Report) bool {
	common := 0
	for n, id := range after.Runs {
		at := slices.Index(before.Runs, id)
		if at < 0 {
			continue
		}
		if before.Progress[at] != after.Progress[n] {
			return false
		}
		common++
	}
	return common > 0
}

// worksSince reports whether the process is known to have worked for a while after a time: it has sent data, its runs
// have gone on, or it has none.
func (p *processRecord) worksSince(t time.Time) bool {
	idle := p.report != nil && p.report.Load.Running == 0
	// A report may be some hundred ms old, and a process that hangs may have sent data to others right before.
	return idle || p.workedAt.Sub(t) >= workDelay || p.dataAt.Sub(t) >= workDelay
}

// lists reports whether the process still works on a run, by its last report.
func (p *processRecord) lists(id string) bool {
	return p.report != nil && slices.Contains(p.report.Runs, id)
}

// stuck reports whether the process has had runs for some time that have not gone on.
func (p *processRecord) stuck(d time.Duration) bool {
	return p.report != nil && p.report.Load.Running > 0 && p.reportedAt.Sub(p.stuckSince) >= d
}

// finding says whether a process ended under a request.
type finding struct {
	state  EndState
	reason endReason
	// final reports that no further check is needed.
	final bool
}

// judge decides whether the process ended under a request that was lost there some time ago, known is what was found
// of it before.
func (p *processRecord) judge(now time.Time, lost *LostRequest, known EndState, watched time.Duration) finding {
	replaced := p.probe.result == probeTold && p.started != 0 && p.probe.started != p.started
	runs := p.probe.result == probeTold && p.probe.started == p.started
	switch {
	case replaced:
		return finding{EndConfirmed, endReplaced, true}
	case runs && lost.SenderLost && !p.stuck(workDelay) && (watched < workDelay || p.lists(lost.ID)):
		// The run goes on, or began after the report was made.
		return finding{known, endUnknown, watched > silentTTL}
	case runs && (!lost.Left || p.worksSince(lost.lived())):
		return finding{EndRefuted, endRuns, true}
	case runs:
		return p.judgeSilentRun(known, watched)
	case p.answers():
		return p.judgeUntold(lost, known, watched)
	case p.answeredAt.After(lost.At) && !lost.Left && known != EndSuspected:
		// It ran at an earlier check.
		return finding{EndDismissed, endAccepts, true}
	case now.Sub(p.unansweredSince) < confirmDelay && lost.SenderLost && !p.reached:
		// A partition may have silenced both the sender and the target.
		return finding{known, endUnknown, false}
	case now.Sub(p.unansweredSince) < confirmDelay:
		return finding{max(known, EndSuspected), endUnknown, false}
	case !p.reached:
		return finding{EndDismissed, endUnreachable, watched > crashTTL}
	default:
		// A process that is paused is silent as well, and answers later.
		return finding{EndConfirmed, endGone, p.probe.result == probeRefused || watched > silentTTL}
	}
}

// answers reports whether a process answered the last check, whether or not it told when it started.
func (p *processRecord) answers() bool {
	return p.probe.result == probeTold || p.probe.result == probeAccepted
}

// judgeSilentRun is judge for a process that runs, but was silent until this instance left. It may hang and be killed
// later.
func (p *processRecord) judgeSilentRun(known EndState, watched time.Duration) finding {
	over := watched > silentTTL
	switch {
	case p.stuck(2 * workDelay):
		// It is as good as ended, and may still go on.
		return finding{max(known, EndConfirmed), endStuck, over}
	case p.stuck(workDelay):
		return finding{max(known, EndSuspected), endStuck, over}
	case over:
		return finding{EndRefuted, endRuns, true}
	default:
		return finding{known, endUnknown, false}
	}
}

// judgeUntold is judge for a process that answers and does not tell when it started: the list tells whether it is
// another one, some heartbeats later.
func (p *processRecord) judgeUntold(lost *LostRequest, known EndState, watched time.Duration) finding {
	switch {
	case p.listedAnew:
		return finding{EndConfirmed, endListedAnew, true}
	case !p.tellsStart, watched > listedTTL && !p.stuck(workDelay):
		return finding{EndDismissed, endAccepts, true}
	case !p.reached && known != endOpen:
		return finding{EndDismissed, endUnreachable, watched > crashTTL}
	case lost.Left:
		return p.judgeSilentRun(known, watched)
	default:
		return finding{max(known, EndUndecided), endUnknown, false}
	}
}
