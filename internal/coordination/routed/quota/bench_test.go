package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkApplyReport measures a report of another instance in a fleet of 62 with 73
// organisations: 0.3 microseconds. It took 380 when the shares of the instances were
// computed for each organisation.
func BenchmarkApplyReport(b *testing.B) {
	const instances, organisations = 62, 73
	limits := map[string]Limit{}
	for i := range organisations {
		limits[fmt.Sprint("o", i)] = Limit{Rate: 20, Burst: 20}
	}
	now := start
	buckets := NewBuckets(now, "own")
	buckets.SetLimits(now, limits)
	report := func(i int, counts Counts) {
		buckets.ApplyReport(now, Report{Instance: fmt.Sprint("n", i), Start: 2, Counts: counts, Full: true, HasQuotaState: true, Levels: BucketLevels{}, SilenceTimeout: time.Second})
	}
	for i := range instances {
		report(i, Counts{})
	}
	for name := range limits {
		buckets.Admit(now, name)
	}
	counts := Counts{"o1": 0}
	for b.Loop() {
		now = now.Add(6 * time.Millisecond)
		counts["o1"]++
		report(1, counts)
	}
}
