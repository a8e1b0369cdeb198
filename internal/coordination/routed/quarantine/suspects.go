package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// closeAfter is the number of crashes under a part that close it. Users count from the fifth
	// crash on.
	closeAfter = 4
	// closeMoments is the number of different moments at which these have to be: a rack or a
	// failure domain that fails ends many targets at one moment.
	closeMoments = 3
	momentGap    = 100 * time.Millisecond
	// settleTime is the age from which a crash counts. Until then other instances may report
	// further suspects of it, or first events that acquit its suspects.
	settleTime = 700 * time.Millisecond
)

// countedUnder returns, for each suspect, the crashes that count against it, the oldest first:
// those after the last first event of a request with it that no closure of other parts explains.
func (e *Evidence) countedUnder(now time.Time) map[string][]*crash {
	out := map[string][]*crash{}
	for _, c := range e.crashes.byTime() {
		if now.Sub(c.at) < settleTime {
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
		if !known.closed() || !c.hasAll(known.parts) {
			continue
		}
		if fewest == nil || compareClosures(known, fewest) < 0 {
			fewest = known
		}
	}
	return fewest
}

func compareClosures(a, b *closure) int {
	return cmp.Or(cmp.Compare(len(a.parts), len(b.parts)), cmp.Compare(keyOf(a.parts), keyOf(b.parts)))
}

// unexplained reports whether a crash is not explained by any closure.
func (e *Evidence) unexplained(c *crash) bool { return e.explanation(c) == nil }

// nextToClose returns the parts that have to be closed next, with the crashes under them, nil if
// there are none. The part with the most crashes comes first, since it explains the most.
func (e *Evidence) nextToClose(now time.Time) (parts []string, under []*crash) {
	counted := e.countedUnder(now)
	candidates := slices.SortedFunc(maps.Keys(counted), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(counted[b]), len(counted[a])), cmp.Compare(a, b))
	})
	for _, part := range candidates {
		under = counted[part]
		if len(under) < closeAfter {
			return nil, nil
		}
		if moments(under) < closeMoments || !slices.ContainsFunc(under, e.unexplained) || e.ofFewRequests(under) {
			continue
		}
		parts = inseparable(counted, under)
		if known := e.closures.all[keyOf(parts)]; known == nil || !known.closed() {
			return parts, under
		}
	}
	return nil, nil
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
func common(a, b []*crash) (count int) {
	for _, c := range a {
		if slices.Contains(b, c) {
			count++
		}
	}
	return count
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

// latest returns the time of the latest crash.
func latest(list []*crash) time.Time {
	return slices.MaxFunc(list, func(a, b *crash) int { return a.at.Compare(b.at) }).at
}
