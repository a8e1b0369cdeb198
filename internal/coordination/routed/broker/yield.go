package broker

import (
	"cmp"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

const (
	// usualShareOfLasts is the share of the longest run time of an item that it usually takes. It
	// is used for items of instances that do not say how long they still need.
	usualShareOfLasts = 2.0 / 3
	// storeInterval is how often the output of running items is stored. Later output than the
	// instance has reported is assumed to be stored this often.
	storeInterval = time.Second
	// maxYieldTargets bounds the targets at which an item that is cheap to preempt is looked for.
	// They are asked in the order of their rank for the request, so that it is not sent to a
	// target that is worse for it to spare an item.
	maxYieldTargets = 4
)

// expectedEnd is when a batch item should end.
func (h *trackedHold) expectedEnd() time.Time {
	if h.Needs > 0 {
		return h.asOf.Add(h.Needs)
	}
	return h.since.Add(time.Duration(usualShareOfLasts * float64(h.Lasts)))
}

// remaining returns how long a batch item is expected to run on.
func (h *trackedHold) remaining(now time.Time) time.Duration { return max(0, h.expectedEnd().Sub(now)) }

// unstored returns how long the output takes to produce again that would be lost if the instance
// died after the item yielded.
func (h *trackedHold) unstored(now time.Time) time.Duration {
	if h.Needs <= 0 {
		return 0
	}
	return h.Unstored + min(storeInterval, now.Sub(h.asOf))
}

// laxity returns how long a batch item can wait after it yields and still meet its deadline.
func (h *trackedHold) laxity(now time.Time) time.Duration {
	if h.Needs > 0 {
		return h.Laxity
	}
	return time.UnixMilli(h.Due).Sub(now) - h.remaining(now)
}

// pick chooses a target, and the batch item that must yield its slot there, if one must.
//
// With yieldsByCost it handles rising demand of online requests that takes slots from items: if no
// item at the first target is cheap to preempt, the next ones are tried.
func (t *HoldTable) pick(now time.Time, req placement.Requirements) (choice placement.Choice, yielding *trackedHold, ok bool) {
	choice, ok = t.core.Pick(now, req)
	if !ok || !choice.MustPreempt {
		return choice, nil, ok
	}
	wait := time.Duration(0)
	if t.yieldsByCost {
		wait = t.yieldWait(req.Service)
	}
	if wait == 0 {
		return choice, t.latestDeadline(choice.ID), true
	}
	yielding = t.cheapest(now, choice.ID, wait)
	others := req
	others.Exclude = append([]string(nil), req.Exclude...)
	for range maxYieldTargets - 1 {
		if yielding != nil && yielding.isCheap(now, wait) {
			break
		}
		others.Exclude = append(others.Exclude, choice.ID)
		other, found := t.core.Pick(now, others)
		if !found {
			break
		}
		cheaper := t.cheapest(now, other.ID, wait)
		if !other.MustPreempt || compareCost(now, wait, cheaper, yielding) >= 0 {
			t.core.Release(other)
			others.Exclude = append(others.Exclude, other.ID)
			continue
		}
		t.core.Release(choice)
		choice, yielding = other, cheaper
	}
	return choice, yielding, true
}

// isCheap reports whether a batch item has most of its run left, little to lose, and time to wait.
func (h *trackedHold) isCheap(now time.Time, wait time.Duration) bool {
	return h.laxity(now) >= wait && h.remaining(now)-h.unstored(now) >= minUsefulRun
}

// cheapest returns the batch item at a target that is cheapest to preempt, or nil.
func (t *HoldTable) cheapest(now time.Time, target string, wait time.Duration) (best *trackedHold) {
	for _, h := range t.holds {
		if !h.Batch || h.yielding || h.pinned || h.Target != target {
			continue
		}
		if best == nil || compareCost(now, wait, h, best) < 0 {
			best = h
		}
	}
	return best
}

// compareCost compares the costs of preempting two batch items. Items that can wait for the next
// slot and still meet their deadlines come first. Of these the one comes first whose remaining run
// exceeds what it would lose by most: an item that is nearly done frees its slot soon by itself.
func compareCost(now time.Time, wait time.Duration, a, b *trackedHold) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	}
	urgent := func(h *trackedHold) int {
		if h.laxity(now) < wait {
			return 1
		}
		return 0
	}
	gain := func(h *trackedHold) time.Duration { return h.remaining(now) - h.unstored(now) }
	return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(gain(b), gain(a)),
		cmp.Compare(b.Due, a.Due), cmp.Compare(b.Number, a.Number), cmp.Compare(b.instance, a.instance))
}
