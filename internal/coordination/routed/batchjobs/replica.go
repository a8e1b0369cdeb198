package batchjobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

const (
	// readWait is how long one read of the log waits for new records. A read that
	// hangs is noticed after that time.
	readWait = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxPageBytes bounds the results in one answer to a caller.
	maxPageBytes = 1 << 20
)

// partitionReplica is this instance's in-memory copy of one partition. The owner
// of the partition also publishes results and stores output through it.
type partitionReplica struct {
	opts      *Options
	partition external.Partition
	logger    log.Logger
	// owned says that this instance owns the partition.
	owned bool
	// onChange, if set, is called after jobs were added, changed or removed.
	onChange func(*partitionReplica)

	mu     sync.Mutex
	state  *jobs.Partition
	loaded bool
	// loading is a load that has not reached the store's end yet.
	loading *partitionLoad
	changed chan struct{}
	// acquiredAt is when the replica was created: for an owned partition, the
	// start of the ownership.
	acquiredAt time.Time
	// readAt is when the store last answered a read, at first acquiredAt.
	readAt time.Time
	// released says that the ownership has ended. The runner's lock guards it.
	released bool
	// onPartialOutput, if set, is called with output that another instance hands
	// over. partialOutputs keeps such output until its item gets a task.
	onPartialOutput func(itemID, PartialOutput)
	partialOutputs  map[itemID]PartialOutput
	// unstored, if set, returns the output of running items that is not stored yet.
	unstored func(*partitionReplica) []unstoredSegment
	// storeNow asks for that output to be stored at once.
	storeNow chan struct{}
	// catchingUp says that catchUpLoop runs; nextCatchUp is the run that it makes next.
	catchingUp  bool
	nextCatchUp *catchUpRun
	// unpublished holds results without a position in their job yet.
	unpublished []finishedItem
	publishNow  chan struct{}
}

// partitionLoad is a load of a whole partition.
type partitionLoad struct {
	// state holds the newest records and those appended since.
	state *jobs.Partition
	// records counts the newest records.
	records int
	began   time.Time
}

// finishedItem is an item that ended, with its result.
type finishedItem struct {
	job    string
	result jobs.Result
}

func newPartitionReplica(opts *Options, p external.Partition, onChange func(*partitionReplica)) *partitionReplica {
	return &partitionReplica{
		opts: opts, partition: p, onChange: onChange,
		logger:         log.With(opts.Logger, "partition", p.Number),
		state:          jobs.NewPartition(),
		changed:        make(chan struct{}),
		publishNow:     make(chan struct{}, 1),
		storeNow:       make(chan struct{}, 1),
		acquiredAt:     time.Now(),
		readAt:         time.Now(),
		partialOutputs: map[itemID]PartialOutput{},
	}
}

// serve loads the partition, follows it, publishes results and stores output until
// ctx ends.
func (p *partitionReplica) serve(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.follow(ctx) })
	loops.Go(func() { p.publishLoop(ctx) })
	loops.Go(func() { p.storeProgressLoop(ctx) })
	loops.Wait()
}

// follow reads new records until ctx ends.
func (p *partitionReplica) follow(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		before, _ := p.position()
		_, err := p.read(ctx, readWait)
		if err == nil {
			p.noteRead()
			retry = minRetryDelay
			if next, _ := p.position(); next == before {
				// A store that does not wait for records must not be asked without a pause.
				wait.For(ctx, minRetryDelay-time.Since(began))
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = level.Warn(p.logger).Log("event", "jobs_read_failed", "retry_ms", retry.Milliseconds(), "err", err)
		wait.For(ctx, retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

// read applies the records that follow the known state. It loads the whole partition
// if nothing is loaded yet or the store no longer has the next record. more says that
// the store has, or may have, records beyond this read.
func (p *partitionReplica) read(ctx context.Context, wait time.Duration) (more bool, err error) {
	p.mu.Lock()
	complete, next := p.loaded && p.loading == nil, p.state.Next()
	p.mu.Unlock()
	if !complete {
		return true, p.load(ctx)
	}
	page, err := p.readFrom(ctx, next, wait)
	if errors.Is(err, external.ErrTrimmed) {
		return true, p.load(ctx)
	}
	if err != nil {
		return false, err
	}
	p.apply(page)
	return page.Next < page.End, nil
}

// readFrom reads records from an offset on.
func (p *partitionReplica) readFrom(ctx context.Context, next int64, wait time.Duration) (external.KeyedPage, error) {
	page, err := p.opts.Log.Read(ctx, p.partition, next, wait)
	if err != nil {
		return external.KeyedPage{}, err
	}
	p.opts.StoreAnswered()
	if page.Next == next && next < page.End {
		return external.KeyedPage{}, fmt.Errorf("%w: read at offset %d returned no records, but the log ends at %d", external.ErrUnavailable, next, page.End)
	}
	return page, nil
}

// readToEnd applies all records that the store has now.
//
// A single read is not enough: an answer holds one megabyte at most, and the pages
// with the newest records of all keys are not a consistent snapshot. A job whose
// records come later would be reported to its caller as missing.
func (p *partitionReplica) readToEnd(ctx context.Context) error {
	for {
		more, err := p.read(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// load replaces the state by the newest records of the partition and those appended since,
// and wakes the publisher for results that arrived earlier. Until it has read up to the
// store's end, the state stays as it was. A load that fails goes on with the next call.
//
// The newest records may be as old as their first page. If they became the state at once, an
// owner whose next read fails would answer with fewer results than another owner has
// published, and would run items that are done.
//
// A partition may be reassigned while one of its items ends at another instance. The
// result can reach the new owner before the store has returned the partition, when
// the job is not known yet. Nothing else would trigger its publication, and since the
// item counts as done at this instance, it would not run again either.
func (p *partitionReplica) load(ctx context.Context) error {
	load, err := p.currentLoad(ctx)
	for more := load != nil; more && err == nil; {
		more, err = p.readLoad(ctx, load)
	}
	return err
}

// currentLoad returns the load to go on with. It begins one if there is none, and returns
// nil if the newest records are no newer than the state.
func (p *partitionReplica) currentLoad(ctx context.Context) (*partitionLoad, error) {
	p.mu.Lock()
	load := p.loading
	p.mu.Unlock()
	if load != nil {
		return load, nil
	}
	began := time.Now()
	page, err := p.opts.Log.Newest(ctx, p.partition)
	if err != nil {
		p.logLoadFailed(time.Since(began), err)
		return nil, err
	}
	p.opts.StoreAnswered()
	load = &partitionLoad{state: jobs.NewPartition(), records: len(page.Records), began: began}
	if err := load.state.Load(page); err != nil {
		_ = level.Error(p.logger).Log("event", "job_records_unreadable", "err", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loaded && load.state.Next() <= p.state.Next() {
		return nil, nil
	}
	p.loading = load
	return load, nil
}

// readLoad applies records that follow those of a load, and ends the load at the store's
// end. more says that records are missing.
func (p *partitionReplica) readLoad(ctx context.Context, load *partitionLoad) (more bool, err error) {
	p.mu.Lock()
	next := load.state.Next()
	p.mu.Unlock()
	page, err := p.readFrom(ctx, next, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loading != load {
		// Another call has ended the load or replaced it.
		return false, err
	}
	if errors.Is(err, external.ErrTrimmed) {
		p.loading = nil
	}
	if err != nil {
		return false, err
	}
	if err := load.state.Apply(page); err != nil {
		_ = level.Error(p.logger).Log("event", "job_records_unreadable", "err", err)
	}
	if page.Next < page.End {
		return true, nil
	}
	p.endLoad(load)
	return false, nil
}

// endLoad makes a load that has reached the store's end the state, unless the state is as
// new. The caller holds the lock.
func (p *partitionReplica) endLoad(load *partitionLoad) {
	p.loading = nil
	if p.loaded && load.state.Next() <= p.state.Next() {
		return
	}
	p.state = load.state
	p.loaded = true
	_ = level.Info(p.logger).Log("event", "jobs_loaded", "jobs", len(p.state.Jobs()), "next", p.state.Next(),
		"owned", p.owned, "records", load.records, "took_ms", time.Since(load.began).Milliseconds())
	p.notifyChange()
	p.wakePublisher()
}

// logLoadFailed logs that the partition could not be loaded, with what had been received.
func (p *partitionReplica) logLoadFailed(took time.Duration, err error) {
	var received external.IncompleteReadError
	if incomplete := (*external.IncompleteReadError)(nil); errors.As(err, &incomplete) {
		received = *incomplete
	}
	_ = level.Warn(p.logger).Log("event", "jobs_load_failed", "owned", p.owned, "pages", received.Pages,
		"records", received.Records, "bytes", received.Bytes, "took_ms", took.Milliseconds(), "err", err)
}

// apply applies a page of records that follows the known state.
func (p *partitionReplica) apply(page external.KeyedPage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if page.Next <= p.state.Next() {
		return
	}
	if err := p.state.Apply(page); err != nil {
		_ = level.Error(p.logger).Log("event", "job_records_unreadable", "err", err)
	}
	p.notifyChange()
}

// notifyChange wakes the callers that wait for a change. The caller holds the lock.
func (p *partitionReplica) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
	if p.onChange != nil {
		go p.onChange(p)
	}
}

// job returns the current snapshot of a job, and a channel that is closed at the next
// change of the partition.
func (p *partitionReplica) job(id string) (found jobSnapshot, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found.loaded = p.loaded
	if job, ok := p.state.Job(id); ok {
		found.known = true
		found.organisation, found.host = job.Organisation, job.Host
		found.total = len(job.Items)
		found.results = job.Results[:len(job.Results):len(job.Results)]
		found.cancelled = job.Cancelled
	}
	return found, p.changed
}

// isLoaded says whether the partition was loaded from the store.
func (p *partitionReplica) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// logNotFound logs that a job was not found, with the state of the partition that
// this is based on.
func (p *partitionReplica) logNotFound(job, organisation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.state.Job(job)
	_ = level.Info(p.logger).Log("event", "job_not_found", "job", job, "organisation", organisation,
		"of_another", known, "jobs", len(p.state.Jobs()), "next", p.state.Next())
}

// jobSnapshot is the state of a job at one moment. Published results never change,
// so snapshots share them.
type jobSnapshot struct {
	loaded, known      bool
	organisation, host string
	total              int
	results            []jobs.Result
	cancelled          bool
}

// belongsTo reports whether the job is known and is one of an organisation and, unless host is "",
// of a host.
func (s *jobSnapshot) belongsTo(organisation, host string) bool {
	return s.known && s.organisation == organisation && (host == "" || route.SameHost(s.host, host))
}

// open says that results are still missing.
func (s *jobSnapshot) open() bool { return !s.cancelled && len(s.results) < s.total }

// openItems returns the items that have no result yet, and when the partition was
// acquired.
func (p *partitionReplica) openItems() ([]openItem, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil, p.acquiredAt
	}
	pending := make(map[itemID]bool, len(p.unpublished))
	for _, f := range p.unpublished {
		pending[itemID{f.job, f.result.Item}] = true
	}
	var out []openItem
	for _, job := range p.state.Jobs() {
		if !job.Open() {
			continue
		}
		for i := range job.Items {
			id := itemID{job.ID, job.Items[i].ID}
			if !job.HasResult(id.item) && !pending[id] {
				progress, _ := job.Progress(i)
				out = append(out, openItem{id: id, item: job.Items[i], job: withoutItems(job), index: i, progress: progress})
			}
		}
	}
	return out, p.acquiredAt
}

// withoutItems returns a copy of the job without its items.
func withoutItems(state *jobs.JobState) jobs.Job {
	job := state.Job
	job.Items = nil
	return job
}

// addResult queues a result for publication. An item that ran twice may finish twice:
// the first result counts, both while it is queued and once it is published.
func (p *partitionReplica) addResult(f finishedItem) {
	p.mu.Lock()
	queued := slices.ContainsFunc(p.unpublished, func(other finishedItem) bool {
		return other.job == f.job && other.result.Item == f.result.Item
	})
	if !queued {
		p.unpublished = append(p.unpublished, f)
	}
	p.mu.Unlock()
	p.wakePublisher()
}
