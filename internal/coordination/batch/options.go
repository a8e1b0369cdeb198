package batch

import (
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/defaults"
)

// Options configure Service and the background services of batch jobs. A field
// with its zero value takes its default.
type Options struct {
	// MaxLineBytes limits one line of an input file, in bytes. Default 256 KiB,
	// so that a log entry has room for several lines.
	MaxLineBytes int
	// MaxFileBytes limits the size of an input file. Default 4 GiB.
	MaxFileBytes int64
	// MaxFileItems limits the number of items in a file. Default 1,000,000; the
	// largest expected job has 760,000.
	MaxFileItems int
	// MaxResultBytes limits the body of one result. Default 512 KiB. An item
	// with a longer body gets a failed result, because the body would not fit
	// in a log entry.
	MaxResultBytes int
	// MaxJobs limits the jobs in progress of one organisation. Default 1,000,
	// which is half of all jobs expected per day.
	MaxJobs int
	// FileTTL is how long after its upload a file can be used for a job.
	// Default 24 h. The platform's retention must be longer by a margin, because
	// DataRefresher does not refresh an uploaded file before a job uses it.
	FileTTL time.Duration
	// MaxWindow limits the completion window of a job. Default 7 days.
	MaxWindow time.Duration
	// ResultTTL is how long results can be read after the job has ended.
	// Default 7 days.
	ResultTTL time.Duration
	// SubmitTimeout limits the wait until an appended record is read back from
	// the log. Default 10 s, because callers prefer a retry to a long wait.
	SubmitTimeout time.Duration
	// ReplayWait is how long a request for an unknown job waits for this
	// instance to replay a manifest that another instance has just
	// acknowledged. Default 300 ms.
	ReplayWait time.Duration
	// RetryAfter is the retry delay sent to callers while the log is down.
	// Default 5 s.
	RetryAfter time.Duration

	// MaxHeldChunks limits the work that an instance holds, in full chunks of
	// 256 items. Default 8: two thousand items keep an instance busy while its
	// next claim is being decided.
	MaxHeldChunks int
	// MaxHeldBytes is the total size of the bodies of held items above which an
	// instance claims no more chunks. Default 8 MiB, an eighth of the memory
	// that an instance may use.
	MaxHeldBytes int
	// MaxInFlight limits the items that an instance runs concurrently. Default
	// 256.
	MaxInFlight int
	// ClaimAhead determines how much work an instance claims ahead: the items
	// that it starts in this time at its current rate. Default 10 s, several
	// times the duration of a claim even when the log is slow. A larger value
	// would save appends but make other organisations wait longer.
	ClaimAhead time.Duration
	// StealAfter is how long an idle instance waits before it claims a chunk
	// that is assigned to another instance. Default 1 s, two planning intervals.
	StealAfter time.Duration
	// ReleaseAfter is how long a chunk may be held without a slot for any of
	// its items before the instance releases it. Default 5 s: longer than the
	// reassignment of a target to another instance takes, and short compared
	// with the expiry of a session.
	ReleaseAfter time.Duration
	// PlanInterval is the minimum time between two plans. Default 500 ms,
	// because a plan iterates over all running jobs.
	PlanInterval time.Duration
	// UrgentLaxity is the laxity (spare time before the deadline) below which a
	// job takes precedence over fairness between organisations. Default 10 min.
	UrgentLaxity time.Duration
	// ItemTime is the assumed duration of one item in the estimate of a job's
	// laxity. Default 10 s.
	ItemTime time.Duration

	// MaxAttempts limits the attempts to run an item. Default 5. After the last
	// one the item gets a failed result, so that one item never blocks its job.
	MaxAttempts int
	// BackoffFirst is the delay before the second attempt. The delay doubles
	// with each further attempt, up to BackoffMax. Defaults 1 s and 1 min.
	BackoffFirst, BackoffMax time.Duration

	// FlushAfter is the maximum time that a result waits to be appended together
	// with others. Default 3 min: at two items per second an instance then
	// appends 360 results at once, and a crash makes as many items run again.
	// When a job has no claimable chunk left, its results are appended as soon
	// as all its items on this instance have results.
	FlushAfter time.Duration
	// FlushBytes is the size of the buffered results at which they are appended
	// immediately. Default 896 KiB, close to the largest log entry.
	FlushBytes int
	// BufferBytes limits the size of the results that are buffered while the log
	// is down. Default 8 MiB, an eighth of the memory that an instance may use.
	// Above this limit Executor starts no more items.
	BufferBytes int
	// DeadlineMargin is the time before a job's deadline from which its results
	// are appended without waiting for others. Default 30 s.
	DeadlineMargin time.Duration
	// DrainTimeout limits the wait for items in flight at a graceful shutdown.
	// Default 30 s. Items still in flight after that are cancelled and run on
	// another instance.
	DrainTimeout time.Duration

	// ReapInterval is the time between two passes of JobReaper over the running
	// jobs. Default 1 s.
	ReapInterval time.Duration
	// RefreshAge is the age at which DataRefresher appends live data again
	// (setting carry_age). Default 24 h. A quarter of the platform's retention
	// time or less leaves enough time to recover from an outage.
	RefreshAge time.Duration
	// RefreshInterval is the time between two scans for old data. Default 10 min.
	RefreshInterval time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxLineBytes, 256<<10)
	defaults.Set(&o.MaxFileBytes, 4<<30)
	defaults.Set(&o.MaxFileItems, 1_000_000)
	defaults.Set(&o.MaxResultBytes, 512<<10)
	defaults.Set(&o.MaxJobs, 1000)
	defaults.Set(&o.FileTTL, 24*time.Hour)
	defaults.Set(&o.MaxWindow, 7*24*time.Hour)
	defaults.Set(&o.ResultTTL, 7*24*time.Hour)
	defaults.Set(&o.SubmitTimeout, 10*time.Second)
	defaults.Set(&o.ReplayWait, 300*time.Millisecond)
	defaults.Set(&o.RetryAfter, 5*time.Second)
	defaults.Set(&o.MaxHeldChunks, 8)
	defaults.Set(&o.StealAfter, time.Second)
	defaults.Set(&o.ReleaseAfter, 5*time.Second)
	defaults.Set(&o.MaxHeldBytes, 8<<20)
	defaults.Set(&o.MaxInFlight, 256)
	defaults.Set(&o.ClaimAhead, 10*time.Second)
	defaults.Set(&o.PlanInterval, 500*time.Millisecond)
	defaults.Set(&o.UrgentLaxity, 10*time.Minute)
	defaults.Set(&o.ItemTime, 10*time.Second)
	defaults.Set(&o.MaxAttempts, 5)
	defaults.Set(&o.BackoffFirst, time.Second)
	defaults.Set(&o.BackoffMax, time.Minute)
	defaults.Set(&o.FlushAfter, 3*time.Minute)
	defaults.Set(&o.FlushBytes, 896<<10)
	defaults.Set(&o.BufferBytes, 8<<20)
	defaults.Set(&o.DeadlineMargin, 30*time.Second)
	defaults.Set(&o.DrainTimeout, 30*time.Second)
	defaults.Set(&o.ReapInterval, time.Second)
	defaults.Set(&o.RefreshAge, 24*time.Hour)
	defaults.Set(&o.RefreshInterval, 10*time.Minute)
	o.MaxLineBytes = min(o.MaxLineBytes, bulk.MaxPayload/2)
	o.MaxResultBytes = min(o.MaxResultBytes, bulk.MaxPayload/2)
	return o
}
