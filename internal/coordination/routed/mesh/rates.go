package mesh

import (
	"maps"
	"time"

	"merlintiller/internal/coordination/routed/quota"
)

// SetRates sets what the heartbeat reports of the rates of organisations.
func (b *Heartbeat) SetRates(limiter *quota.Limiter) {
	b.Admitted = limiter.AdmittedCounts()
	b.Levels = limiter.BucketLevels()
	b.Informed = b.Levels != nil
	b.TellsLevels = b.Informed
	b.Asked = limiter.AskedCounts()
	b.Settling, b.Doubtful = limiter.WantsLevels(), limiter.Doubtful()
}

// RateReport returns what the heartbeat reports of the rates of organisations.
func (b *Heartbeat) RateReport(silenceTimeout time.Duration) quota.Report {
	var levels quota.BucketLevels
	if b.TellsLevels && b.ConfigVersion > 0 {
		// An instance of an earlier release may tell levels without knowing any limit.
		levels = quota.BucketLevels{}
		maps.Copy(levels, b.Levels)
	}
	return quota.Report{
		Instance: b.From.Name, Start: b.From.Start, Uptime: b.Uptime, Counts: b.Admitted, Full: b.Whole,
		HasQuotaState: b.Informed, Levels: levels, Doubtful: b.Doubtful, SilenceTimeout: silenceTimeout,
		Asked: b.Asked,
	}
}
