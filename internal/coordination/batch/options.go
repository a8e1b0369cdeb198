package batch

import (
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/defaults"
)

// Options are the settings of the batch duties. The zero value of a field
// takes its default.
type Options struct {
	// MaxLineBytes bounds a line of an input file. Default 256 KiB: a line must
	// fit in a log entry with room for others.
	MaxLineBytes int
	// MaxFileBytes bounds an input file. Default 4 GiB.
	MaxFileBytes int64
	// MaxFileItems bounds the items of a file. Default 1,000,000: the largest
	// job foreseen has 760,000.
	MaxFileItems int
	// MaxResultBytes bounds the body of one result. Default 512 KiB. A longer
	// one ends as a failed result, since it would not fit in a log entry.
	MaxResultBytes int
	// MaxJobs bounds the jobs in progress of one organisation. Default 1,000:
	// half of all jobs foreseen in a day.
	MaxJobs int
	// FileTTL is how long after its upload a file can be used for a job.
	// Default 24 h. Retention must be longer by a margin, because an uploaded
	// file is not carried forward until a job needs it.
	FileTTL time.Duration
	// MaxWindow bounds the completion window of a job. Default 7 days.
	MaxWindow time.Duration
	// ResultTTL is how long results stay readable after a job ended.
	// Default 7 days.
	ResultTTL time.Duration
	// SubmitTimeout bounds the wait for a manifest to be read back. Default
	// 10 s: a caller would rather resend than hang.
	SubmitTimeout time.Duration
	// ReadLag is how long a read of an unknown job waits for this instance to
	// replay a manifest that another one has just acknowledged. Default 300 ms.
	ReadLag time.Duration
	// RetryAfter is what callers are told when the log is down. Default 5 s.
	RetryAfter time.Duration

	// MaxHeldChunks bounds the work an instance holds, in full chunks of 256
	// items. Default 8: two thousand items keep an instance busy while a claim
	// is on its way.
	MaxHeldChunks int
	// MaxHeldBytes is the size of held items' bodies beyond which an instance
	// claims no more. Default 8 MiB, an eighth of the memory it may use.
	MaxHeldBytes int
	// MaxInFlight bounds the items an instance runs at a time. Default 256.
	MaxInFlight int
	// ClaimAhead is the time for which an instance claims work ahead at the
	// pace at which it starts items. Default 10 s: several times what a claim
	// takes, also with the log slow. More would save appends and make other
	// organisations wait longer.
	ClaimAhead time.Duration
	// StealAfter is how long an instance that wants work leaves a chunk to the
	// instance to which it falls. Default 1 s, two plans.
	StealAfter time.Duration
	// GiveBackAfter is how long a chunk may be held without a place for any of
	// its items before it is given back. Default 5 s: longer than targets take
	// to change their feeder, short beside a session's expiry.
	GiveBackAfter time.Duration
	// PlanEvery is the shortest time between two plans. Default 500 ms: a plan
	// passes over all running jobs.
	PlanEvery time.Duration
	// UrgentLaxity is the spare time under which a job goes ahead of fairness
	// between organisations. Default 10 min.
	UrgentLaxity time.Duration
	// ItemTime is the time one item is assumed to take when the spare time of
	// a job is estimated. Default 10 s.
	ItemTime time.Duration

	// MaxAttempts bounds the attempts at an item. Default 5; then it ends as
	// a failed result, so that a job never hangs on one item.
	MaxAttempts int
	// BackoffFirst and BackoffMax are the waits between attempts, doubling
	// from the first. Defaults 1 s and 1 min.
	BackoffFirst, BackoffMax time.Duration

	// FlushAfter is the longest a result waits for others to be appended with
	// it. Default 3 min: at two items a second an instance then appends 360
	// results together, and a crash makes as many run again. When no chunk of
	// a job is left to take, its chunks are appended as soon as they are whole.
	FlushAfter time.Duration
	// FlushBytes of waiting results are appended at once. Default 896 KiB,
	// close to the largest log entry.
	FlushBytes int
	// BufferBytes bounds the results that wait while the log is down. Default
	// 8 MiB, an eighth of the memory an instance may use. Beyond it the
	// executor starts no more items.
	BufferBytes int
	// DeadlineMargin before a job's deadline results are appended without
	// waiting for others. Default 30 s.
	DeadlineMargin time.Duration
	// DrainTimeout bounds the wait for items in flight at a graceful shutdown.
	// Default 30 s; the rest is cancelled and runs elsewhere.
	DrainTimeout time.Duration

	// KeepEvery is the time between two passes of the Keeper. Default 1 s.
	KeepEvery time.Duration
	// RefreshAge is the age at which live data is appended anew. Default 24 h.
	// A quarter of the retention time or less leaves room for an outage.
	RefreshAge time.Duration
	// RefreshInterval is the time between two looks for old data. Default 10 min.
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
	defaults.Set(&o.ReadLag, 300*time.Millisecond)
	defaults.Set(&o.RetryAfter, 5*time.Second)
	defaults.Set(&o.MaxHeldChunks, 8)
	defaults.Set(&o.StealAfter, time.Second)
	defaults.Set(&o.GiveBackAfter, 5*time.Second)
	defaults.Set(&o.MaxHeldBytes, 8<<20)
	defaults.Set(&o.MaxInFlight, 256)
	defaults.Set(&o.ClaimAhead, 10*time.Second)
	defaults.Set(&o.PlanEvery, 500*time.Millisecond)
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
	defaults.Set(&o.KeepEvery, time.Second)
	defaults.Set(&o.RefreshAge, 24*time.Hour)
	defaults.Set(&o.RefreshInterval, 10*time.Minute)
	o.MaxLineBytes = min(o.MaxLineBytes, bulk.MaxPayload/2)
	o.MaxResultBytes = min(o.MaxResultBytes, bulk.MaxPayload/2)
	return o
}
