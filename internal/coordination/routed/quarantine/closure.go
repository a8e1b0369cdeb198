package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// firstTrialAfter is the time from the last crash until closed parts are tried again. It
	// doubles with each trial that ends with a crash, maxTrialDoublings times at most.
	firstTrialAfter   = 2 * time.Minute
	maxTrialDoublings = 4
	// closureTTL is the time since the last crash after which closed parts that nobody asked for
	// are forgotten.
	closureTTL = 2 * time.Hour
	// maxClosures bounds the closures of parts that are kept, maxClosedRequests those of requests.
	maxClosures       = 64
	maxClosedRequests = 128
	// maxNamed bounds the targets and instances that a closure names.
	maxNamed = 6
)

// closure is a set of closed parts.
type closure struct {
	parts             []string
	crashes, trials   int
	targets, seenBy   []string
	closedAt, crashed time.Time
	// suspended reports that something other than the parts may have caused the crashes. They explain none, and are
	// tried as soon as a request comes.
	suspended bool
	// openedAt is when a request with the parts last got its first event, zero if never.
	openedAt time.Time
	// trialBy claims the trial since trialAt. trialUsed is set once this instance has let its
	// request pass.
	trialBy   string
	trialAt   time.Time
	trialUsed bool
	changed   uint64
}

// key identifies a closure.
func keyOf(parts []string) string { return strings.Join(parts, ",") }

// closed reports whether requests are rejected.
func (c *closure) closed() bool { return !c.openedAt.After(c.crashed) }

// closureState says how a closure affects requests: more with each value.
type closureState int

const (
	stateOpen closureState = iota
	stateSuspended
	stateClosed
)

func (c *closure) state() closureState {
	switch {
	case c == nil || !c.closed():
		return stateOpen
	case c.suspended:
		return stateSuspended
	default:
		return stateClosed
	}
}

// trialFrom is when the parts may be tried again.
func (c *closure) trialFrom() time.Time {
	return c.crashed.Add(firstTrialAfter << min(c.trials, maxTrialDoublings))
}

// concerns reports whether a request with the given parts has all closed parts.
func (c *closure) concerns(parts []string) bool {
	return !slices.ContainsFunc(c.parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// crashedAgain records a crash of which the closed parts are suspects. It returns false if
// nothing has changed. Parts that were opened need new evidence to be closed.
func (c *closure) crashedAgain(at time.Time) bool {
	if !c.closed() || !at.After(c.crashed) {
		return false
	}
	until, _ := c.claimTimes()
	tried := c.trialBy != "" && !at.Before(c.trialAt.Add(until))
	if tried || !at.Before(c.trialFrom()) {
		c.trials++
	}
	c.crashed, c.trialBy, c.trialUsed = at, "", false
	return true
}

// open records a first event of a request with the closed parts. It returns false if nothing has
// changed.
func (c *closure) open(at time.Time) bool {
	if !c.closed() || !at.After(c.crashed) {
		return false
	}
	c.openedAt = at
	return true
}

// claimed reports whether an instance claims the trial.
func (c *closure) claimed(now time.Time) bool {
	_, ttl := c.claimTimes()
	return c.trialBy != "" && now.Sub(c.trialAt) < ttl
}

// claimTimes returns the time from the claim of a trial until the trial, and that after which it may be claimed again.
// Sound requests are rejected until the trial of something suspended.
func (c *closure) claimTimes() (until, ttl time.Duration) {
	if c.suspended {
		return SuspendedClaimTime, suspendedClaimTTL
	}
	return claimTime, claimTTL
}

// mergeClaim applies the claim of another instance. Of two claims that of the instance whose name
// comes first counts. It returns false if nothing has changed.
func (c *closure) mergeClaim(now time.Time, by string, at time.Time) bool {
	if _, ttl := c.claimTimes(); by == "" || now.Sub(at) >= ttl || !at.After(c.crashed) {
		return false
	}
	if c.claimed(now) && c.trialBy <= by {
		return false
	}
	c.trialBy, c.trialAt, c.trialUsed = by, at, false
	return true
}

// merge applies what another instance knows of the same closure. It returns false if nothing has
// changed.
func (c *closure) merge(now time.Time, other *Closure) (changed bool) {
	if other.Trials > c.trials {
		c.trials, changed = other.Trials, true
	}
	if at := now.Add(-other.LastCrashAge); at.After(c.crashed.Add(ageTolerance)) {
		c.crashed, changed = at, true
	}
	if at := now.Add(-other.OpenedAge); other.Opened && c.closed() && at.After(c.crashed) {
		c.openedAt, changed = at, true
	}
	if c.suspended && !other.Suspended {
		c.suspended, changed = false, true
	}
	return c.mergeClaim(now, other.TrialBy, now.Add(-other.TrialAge)) || changed
}

func (c *closure) report(now time.Time) Closure {
	out := Closure{
		Parts: c.parts, Crashes: c.crashes, Targets: c.targets, SeenBy: c.seenBy, Trials: c.trials,
		ClosedAge: now.Sub(c.closedAt), LastCrashAge: now.Sub(c.crashed), Suspended: c.suspended,
	}
	if !c.closed() {
		out.Opened, out.OpenedAge = true, now.Sub(c.openedAt)
	}
	if c.claimed(now) {
		out.TrialBy, out.TrialAge = c.trialBy, now.Sub(c.trialAt)
	}
	return out
}

// fromReport returns the closure that another instance or the store knows.
func fromReport(now time.Time, r *Closure) *closure {
	c := &closure{
		parts: r.Parts, crashes: r.Crashes, trials: r.Trials, targets: r.Targets, seenBy: r.SeenBy,
		closedAt: now.Add(-r.ClosedAge), crashed: now.Add(-r.LastCrashAge), suspended: r.Suspended,
	}
	if r.Opened {
		c.openedAt = now.Add(-r.OpenedAge)
	}
	c.mergeClaim(now, r.TrialBy, now.Add(-r.TrialAge))
	return c
}

// OfRequest reports whether the closure is that of a single request.
func (c *Closure) OfRequest() bool { return len(c.Parts) == 1 && isRequestKey(c.Parts[0]) }
