package placement

import (
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// target is the state kept for one target.
type target struct {
	roster.Target
	slots int
	// listed is set while the target may get requests.
	listed bool
	// online and batch are the requests of this instance in flight at the target.
	online, batch int
	// peerOnline and peerBatch are the requests of other instances.
	peerOnline, peerBatch int
	// unaccounted is the number of requests that the target reported beyond those counted
	// above: requests of instances whose counts don't arrive. It is used until
	// unaccountedUntil.
	unaccounted      int
	unaccountedUntil time.Time
	// lastData is when data last arrived from the target.
	lastData time.Time
	health   health
	warmUp   warmUp
}

func (t *target) busy(now time.Time) int {
	return t.online + t.batch + t.peerOnline + t.peerBatch + t.currentUnaccounted(now)
}

// currentUnaccounted returns unaccounted, or 0 once the report has expired.
func (t *target) currentUnaccounted(now time.Time) int {
	if now.Before(t.unaccountedUntil) {
		return t.unaccounted
	}
	return 0
}

func (t *target) batchCount() int { return t.batch + t.peerBatch }

// applyLoad applies a load report of the target.
func (t *target) applyLoad(now time.Time, load exchange.Load) {
	if load.Slots > 0 {
		t.slots = load.Slots
	}
	known := t.online + t.batch + t.peerOnline + t.peerBatch
	t.unaccounted = max(0, load.Running+load.Waiting-known)
	t.unaccountedUntil = now.Add(unaccountedTTL)
}

// mayProbe reports whether one request may be sent as a probe.
func (t *target) mayProbe(now time.Time) bool {
	return !now.Before(t.health.avoidedUntil) && t.health.stalled == 0 && t.online+t.batch == 0
}

// health tracks whether a target may be trusted with requests.
type health struct {
	// failureScore is the sum of the weights of consecutive failures.
	failureScore int
	// suspect is set if the target failed and has not answered since. The target is
	// avoided until avoidedUntil and probed after that.
	suspect      bool
	avoidedUntil time.Time
	backoff      time.Duration
	// stalled is the number of exchanges that are waiting longer than they should.
	stalled int
}

// trusted reports whether the target may get any request.
func (h *health) trusted() bool {
	return !h.suspect && h.stalled == 0
}

func (h *health) avoid(now time.Time) {
	h.suspect = true
	h.backoff = min(max(minAvoidance, 2*h.backoff), maxAvoidance)
	h.avoidedUntil = now.Add(h.backoff)
}

func (h *health) succeeded() {
	h.failureScore = 0
	h.suspect = false
	h.backoff = 0
}

// failed adds a failure of the given weight. The target is avoided from avoidanceThreshold
// on.
func (h *health) failed(now time.Time, weight int) {
	h.failureScore += weight
	if h.failureScore >= avoidanceThreshold {
		h.avoid(now)
	}
}
