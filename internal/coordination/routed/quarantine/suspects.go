package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// closeAfter is the number of crashes under a part that close it. Users count from the fifth crash on, whatever
	// caused it, so suspendAfter crashes suspend a part even if something else may have.
	closeAfter   = 4
	suspendAfter = 5
	// provedFor is the time for which a first event proves that targets bear a part: then only certain evidence closes it.
	// Rejecting the requests with a common part would leave none that could acquit it.
	provedFor = time.Minute
	// closeMoments is the number of different moments at which these have to be: a rack or a
	// failure domain that fails ends many targets at one moment.
	closeMoments = 3
	momentGap    = 100 * time.Millisecond
	// settleTime is the age from which a crash counts. Until then other instances may report
	// further suspects of it, or first events that acquit its suspects.
	settleTime = 700 * time.Millisecond
	// suspendSettleTime is the same for a suspension, which a single first event prevents: that is reported with a crash,
	// which is known for certain only after confirmDelay.
	suspendSettleTime = confirmDelay + settleTime
)

// countedUnder returns, for each suspect, the crashes that count against it, the oldest first:
// those up to some time, and after the last first event of a request with it, that no closure of other parts explains.
func (e *Evidence) countedUnder(until time.Time) map[string][]*crash {
	out := map[string][]*crash{}
	for _, c := range e.crashes.byTime() {
		if c.at.After(until) {
			continue
		}
		explanation := e.explanation(c)
		for part := range c.parts {
			acquitted := !c.at.After(e.began[part].at)
			if !acquitted && (explanation == nil || slices.Contains(explanation.parts, part)) {
				out[part] = append(out[part], c)
			}
		}
	}
	return out
}

// explanation returns a closure whose parts are all suspects of a crash, nil if there is none: the
// one with the fewest parts.
func (e *Evidence) explanation(c *crash) (fewest *closure) {
	for _, known := range e.closures.ofParts {
		if !known.closed() || known.suspended || !c.hasAll(known.parts) {
			continue
		}
		if fewest == nil || cmp.Or(cmp.Compare(len(known.parts), len(fewest.parts)), cmp.Compare(keyOf(known.parts), keyOf(fewest.parts))) < 0 {
			fewest = known
		}
	}
	return fewest
}

// nextToClose returns the parts that have to get into a state next, closed or suspended, with the crashes under them, nil
// if there are none. The part with the most crashes comes first, since it explains the most.
func (e *Evidence) nextToClose(now time.Time, state closureState) (parts []string, under []*crash) {
	least, settled := closeAfter, settleTime
	if state == stateSuspended {
		least, settled = suspendAfter, suspendSettleTime
	}
	counted := e.countedUnder(now.Add(-settled))
	candidates := slices.SortedFunc(maps.Keys(counted), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(counted[b]), len(counted[a])), cmp.Compare(a, b))
	})
	for _, part := range candidates {
		under = counted[part]
		if len(under) < least {
			return nil, nil
		}
		parts = inseparable(counted, under)
		known := e.closures.all[keyOf(parts)]
		tried := known != nil && known.suspended && known.trials >= maxSuspendedTrials
		explained := !slices.ContainsFunc(under, func(c *crash) bool { return e.explanation(c) == nil })
		uncertain := !tried && e.mayBeSound(under)
		proved := under[0].at.Sub(e.began[part].at) < provedFor
		if !explained && known.state() < state && !(uncertain && (state == stateClosed || proved)) {
			return parts, under
		}
	}
	return nil, nil
}

// mayBeSound reports whether something other than the part under which all these targets crashed may have caused that:
// a failure of several at one moment, or single requests.
func (e *Evidence) mayBeSound(under []*crash) bool {
	return moments(under) < closeMoments || e.ofFewRequests(under)
}

// fewRequests is the number of requests that may crash targets by themselves although they have a part in
// common.
const fewRequests = 2

// ofFewRequests reports whether fewRequests may have caused crashes: they ran at all of the targets but one,
// which may have crashed by itself. Crashes of single requests say nothing against a part of their
// prompts that others have.
func (e *Evidence) ofFewRequests(list []*crash) bool {
	left := slices.Clone(list)
	for range fewRequests {
		left = e.withoutMostFrequent(left)
	}
	return len(left) <= 1 && len(left) < len(list)
}

// withoutMostFrequent returns the crashes of some at which the request that ran at most of them did not run.
func (e *Evidence) withoutMostFrequent(list []*crash) []*crash {
	runs, most := map[string]int{}, ""
	for _, c := range list {
		for _, r := range e.ends.under(c.incarnation) {
			runs[r.key]++
			if runs[r.key] > runs[most] || runs[r.key] == runs[most] && r.key < most {
				most = r.key
			}
		}
	}
	return slices.DeleteFunc(list, func(c *crash) bool {
		return slices.ContainsFunc(e.ends.under(c.incarnation), func(r *endRecord) bool { return r.key == most })
	})
}

// inseparable returns the parts that were suspects of all but one of some crashes at least. The
// crashes don't tell these parts apart: a report may be missing. Only requests that have all of
// them are rejected, and the next crashes under only some of them tell them apart.
func inseparable(counted map[string][]*crash, under []*crash) (parts []string) {
	for part, list := range counted {
		if common(list, under) >= len(under)-1 {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// moments returns the number of different moments among crashes in the order of time.
func moments(list []*crash) (count int) {
	var last time.Time
	for _, c := range list {
		if count == 0 || c.at.Sub(last) >= momentGap {
			count++
			last = c.at
		}
	}
	return count
}

// common returns the number of crashes that are in both lists.
func common(a, b []*crash) int {
	return len(slices.DeleteFunc(slices.Clone(a), func(c *crash) bool { return !slices.Contains(b, c) }))
}

// namedIn returns some of the targets that crashed and of the instances that saw it.
func namedIn(list []*crash) (targets, seenBy []string) {
	for _, c := range slices.Backward(list) {
		targets = appendNew(targets, c.target)
		for _, name := range c.seenBy {
			seenBy = appendNew(seenBy, name)
		}
	}
	return targets, seenBy
}

func appendNew(list []string, name string) []string {
	if len(list) >= maxNamed || slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}
