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
}

// RateReport returns what the heartbeat reports of the rates of organisations.
func (b *Heartbeat) RateReport(silenceTimeout time.Duration) quota.Report {
	var levels quota.BucketLevels
	if b.TellsLevels {
		levels = quota.BucketLevels{}
		maps.Copy(levels, b.Levels)
	}
	return quota.Report{
		Instance: b.From.Name, Start: b.From.Start, Uptime: b.Uptime, Counts: b.Admitted, Full: b.Whole,
		HasQuotaState: b.Informed, Levels: levels, SilenceTimeout: silenceTimeout,
	}
}
