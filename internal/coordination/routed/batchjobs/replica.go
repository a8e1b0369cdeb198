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
	"merlintiller/internal/wait"
)

const (
	// tailWait is how long one read waits for new jobs. A watch that hears
	// nothing is noticed when it ends.
	readWait = 2 * time.Second
	// retryFirst and retryMost bound the wait after a failed call to the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// pageBytes bounds the results of one answer to a caller.
	maxPageBytes = 1 << 20
)

// holding is the jobs of one partition as this instance keeps them.
type partitionReplica struct {
	opts      *Options
	partition external.Partition
	logger    log.Logger
	// onChange is told that jobs came or ended.
	onChange func(*partitionReplica)

	mu      sync.Mutex
	state   *jobs.Partition
	loaded  bool
	changed chan struct{}
	// held is when the holding began.
	acquiredAt time.Time
	// dropped says that the holding has ended. The runner's lock guards it.
	released bool
	// onPart is told of output that another instance handed back; parts keeps
	// it until the item is taken up.
	onPartialOutput func(itemID, PartialOutput)
	partialOutputs  map[itemID]PartialOutput
	// pieces gives what came out of items that run here since it was kept last.
	unstored func(*partitionReplica) []unstoredSegment
	// keepNow asks for keeping what came out at once.
	storeNow chan struct{}
	// finished are results that are still to be listed.
	unpublished []finishedItem
	publishNow  chan struct{}
}

// finished is an item with its end.
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
		partialOutputs: map[itemID]PartialOutput{},
	}
}

// serve loads the partition, follows it and lists results until ctx ends.
func (p *partitionReplica) serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { p.follow(ctx) })
	duties.Go(func() { p.publishLoop(ctx) })
	duties.Go(func() { p.storeProgressLoop(ctx) })
	duties.Wait()
}

// follow keeps the state up to date.
func (p *partitionReplica) follow(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		_, err := p.read(ctx, readWait)
		if err == nil {
			retry = minRetryDelay
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

// read takes over what is new, and everything if nothing is known or what is
// next has left the store's history. It says whether there was more than one
// answer of the store holds, or may have been.
func (p *partitionReplica) read(ctx context.Context, wait time.Duration) (more bool, err error) {
	p.mu.Lock()
	loaded, next := p.loaded, p.state.Next()
	p.mu.Unlock()
	if !loaded {
		return true, p.load(ctx)
	}
	page, err := p.opts.Log.Read(ctx, p.partition, next, wait)
	if errors.Is(err, external.ErrTrimmed) {
		return true, p.load(ctx)
	}
	if err != nil {
		return false, err
	}
	p.opts.StoreAnswered()
	if page.Next == next && next < page.End {
		return false, fmt.Errorf("%w: nothing read at %d before the end at %d", external.ErrUnavailable, next, page.End)
	}
	p.apply(page)
	return page.Next < page.End, nil
}

// readToEnd takes over all that the store has now.
//
// What goes wrong with a single read: one answer holds a megabyte at most, and the
// newest records of all keys come in pages that are no snapshot. A job behind that
// would be taken for one that does not exist, and its caller told so.
func (p *partitionReplica) readToEnd(ctx context.Context) error {
	for {
		more, err := p.read(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// load takes over the partition as it is, and has results listed that came before.
//
// What goes wrong without the second: a partition moves while one of its items ends
// elsewhere. The result reaches the new holder before the store has given it the
// partition, when there is no job to list it in. Nothing else asks for listing it,
// and the item counts as done here: it is neither listed nor run again.
func (p *partitionReplica) load(ctx context.Context) error {
	page, err := p.opts.Log.Newest(ctx, p.partition)
	if err != nil {
		return err
	}
	p.opts.StoreAnswered()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loaded && page.Next <= p.state.Next() {
		return nil
	}
	state := jobs.NewPartition()
	if err := state.Load(page); err != nil {
		_ = level.Error(p.logger).Log("event", "job_records_unreadable", "err", err)
	}
	p.state = state
	p.loaded = true
	_ = level.Info(p.logger).Log("event", "jobs_loaded", "jobs", len(state.Jobs()), "next", state.Next())
	p.notifyChange()
	p.wakePublisher()
	return nil
}

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

// tell wakes those who wait for a change. It needs the lock.
func (p *partitionReplica) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
	if p.onChange != nil {
		go p.onChange(p)
	}
}

// job gives a job as of now, and what is closed at the next change.
func (p *partitionReplica) job(id string) (found jobSnapshot, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found.loaded = p.loaded
	if l, ok := p.state.Job(id); ok {
		found.known = true
		found.organisation = l.Organisation
		found.total = len(l.Items)
		found.results = l.Results[:len(l.Results):len(l.Results)]
		found.cancelled = l.Cancelled
	}
	return found, p.changed
}

// missing logs that a job is not there, with what that was decided by.
func (p *partitionReplica) logNotFound(job, organisation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.state.Job(job)
	_ = level.Info(p.logger).Log("event", "job_not_found", "job", job, "organisation", organisation,
		"of_another", known, "jobs", len(p.state.Jobs()), "next", p.state.Next())
}

// snapshot is a job as it was at one moment. Results that are listed never
// change, so that they may be shared.
type jobSnapshot struct {
	loaded, known bool
	organisation  string
	total         int
	results       []jobs.Result
	cancelled         bool
}

// open says that results are still to come.
func (s *jobSnapshot) open() bool { return !s.cancelled && len(s.results) < s.total }

// open gives the items that are to be run, and since when the partition is held.
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
	for _, l := range p.state.Jobs() {
		if !l.Open() {
			continue
		}
		for i := range l.Items {
			id := itemID{l.ID, l.Items[i].ID}
			if !l.HasResult(id.item) && !pending[id] {
				kept, _ := l.Progress(i)
				out = append(out, openItem{id: id, item: l.Items[i], job: withoutItems(l), index: i, progress: kept})
			}
		}
	}
	return out, p.acquiredAt
}

// jobOf is the job without its items.
func withoutItems(l *jobs.JobState) jobs.Job {
	job := l.Job
	job.Items = nil
	return job
}

// finish has a result listed. An item that was run twice may finish twice; the
// first result counts, as long as it waits here and once it is listed.
func (p *partitionReplica) addResult(f finishedItem) {
	p.mu.Lock()
	waits := slices.ContainsFunc(p.unpublished, func(other finishedItem) bool {
		return other.job == f.job && other.result.Item == f.result.Item
	})
	if !waits {
		p.unpublished = append(p.unpublished, f)
	}
	p.mu.Unlock()
	p.wakePublisher()
}
