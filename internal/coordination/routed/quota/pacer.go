package quota

import (
	"math"
	"time"
)

const (
	// lowLevelShare is the share of a burst below which a bucket counts as low.
	lowLevelShare = 0.5
	// drainTime is the time in which the level of a low bucket may be used, in addition to
	// the rate.
	drainTime = 250 * time.Millisecond
	// doubtfulDrainTime is drainTime while levels are doubtful.
	doubtfulDrainTime = time.Second
	// usageWindow is the time constant with which the recorded admissions decay.
	// evenUsageTime is the time for which the rate is counted as if it had been admitted
	// evenly by all instances.
	usageWindow   = 2 * time.Second
	evenUsageTime = 500 * time.Millisecond
	// An instance may use up to maxAheadFactor times its share of a low bucket's level at
	// once, but at least minTokens, because requests arrive in bursts.
	maxAheadFactor = 4
	minTokens      = 1
	// freshShare is the share of the silence timeout up to which the mean age of the
	// reports is low enough to use the burst.
	freshShare = 0.4
	// maxPacedWait bounds the time until the next token of a small share. By then the reports
	// are recent again, or their instances count as silent.
	maxPacedWait = 5 * time.Second
)

// pacer limits what one instance admits from a low bucket to the share of the
// organisation's requests that arrive at this instance.
//
// It is needed if an organisation sends several times its rate to many instances. What one
// instance admits is known to the others only some hundred milliseconds later. If each used
// whatever its own copy of the bucket holds, all of them would start at the same time and
// stop too late by the same delay, repeatedly. Instances that are isolated from each
// other would use the whole of the remaining level until they notice it.
type pacer struct {
	// fleetUsage is what all instances admitted recently, ownUsage what this instance did.
	fleetUsage, ownUsage float64
	// share is the share of fleetUsage that this instance may use.
	share     float64
	tokens    float64
	updatedAt time.Time
	// restrained reports that no level of the bucket is high enough to use more than the share.
	restrained bool
}

// admit reports whether to admit a request for which the bucket has a token, and counts the
// request if so.
func (p *pacer) admit(now time.Time, limit Limit, level float64, s shares) bool {
	elapsed := max(0, now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
	decay := math.Exp(-elapsed / usageWindow.Seconds())
	p.fleetUsage, p.ownUsage = p.fleetUsage*decay, p.ownUsage*decay
	maxTokens := float64(minTokens)
	if s.fresh {
		even := limit.Rate * evenUsageTime.Seconds()
		p.share = (p.ownUsage + even/s.reachable) / (p.fleetUsage + even)
		maxTokens = max(maxTokens, maxAheadFactor*p.share*level)
	}
	p.tokens = min(maxTokens, p.tokens+p.share*p.rate(limit, level, s)*elapsed)
	if s.fresh && !p.restrained && level >= lowLevelShare*limit.Burst*s.reachableShare {
		p.tokens = maxTokens
		p.recordAdmission()
		return true
	}
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	p.recordAdmission()
	return true
}

// rate returns the tokens per second that all instances together get.
func (p *pacer) rate(limit Limit, level float64, s shares) float64 {
	rate := limit.Rate * s.reachableShare
	if s.fresh {
		rate += level / s.drainTime().Seconds()
	}
	return rate
}

// drainTime returns the time in which the level of a low bucket may be used.
func (s *shares) drainTime() time.Duration {
	if s.doubtful {
		return doubtfulDrainTime
	}
	return drainTime
}

// untilToken returns the time until a request can be admitted that was not admitted now.
func (p *pacer) untilToken(limit Limit, level float64, s shares) time.Duration {
	seconds := (1 - p.tokens) / (p.share * p.rate(limit, level, s))
	return time.Duration(min(seconds, maxPacedWait.Seconds()) * float64(time.Second))
}

func (p *pacer) recordAdmission() {
	p.fleetUsage++
	p.ownUsage++
}
