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
	tailWait = 2 * time.Second
	// retryFirst and retryMost bound the wait after a failed call to the store.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// pageBytes bounds the results of one answer to a caller.
	pageBytes = 1 << 20
)

// holding is the jobs of one partition as this instance keeps them.
type holding struct {
	opts      *Options
	partition external.Partition
	logger    log.Logger
	// onChange is told that jobs came or ended.
	onChange func(*holding)

	mu      sync.Mutex
	state   *jobs.Partition
	loaded  bool
	changed chan struct{}
	// held is when the holding began.
	held time.Time
	// dropped says that the holding has ended. The runner's lock guards it.
	dropped bool
	// onPart is told of output that another instance handed back; parts keeps
	// it until the item is taken up.
	onPart func(itemID, Part)
	parts  map[itemID]Part
	// pieces gives what came out of items that run here since it was kept last.
	pieces func(*holding) []unkept
	// keepNow asks for keeping what came out at once.
	keepNow chan struct{}
	// finished are results that are still to be listed.
	finished []finished
	wake     chan struct{}
}

// finished is an item with its end.
type finished struct {
	job    string
	result jobs.Result
}

func newHolding(opts *Options, p external.Partition, onChange func(*holding)) *holding {
	return &holding{
		opts: opts, partition: p, onChange: onChange,
		logger:  log.With(opts.Logger, "partition", p.Number),
		state:   jobs.NewPartition(),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		keepNow: make(chan struct{}, 1),
		held:    time.Now(),
		parts:   map[itemID]Part{},
	}
}

// serve loads the partition, follows it and lists results until ctx ends.
func (h *holding) serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { h.follow(ctx) })
	duties.Go(func() { h.list(ctx) })
	duties.Go(func() { h.keepProgress(ctx) })
	duties.Wait()
}

// follow keeps the state up to date.
func (h *holding) follow(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		_, err := h.read(ctx, tailWait)
		if err == nil {
			retry = retryFirst
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = level.Warn(h.logger).Log("event", "jobs_read_failed", "retry_ms", retry.Milliseconds(), "err", err)
		wait.For(ctx, retry)
		retry = min(2*retry, retryMost)
	}
}

// read takes over what is new, and everything if nothing is known or what is
// next has left the store's history. It says whether there was more than one
// answer of the store holds, or may have been.
func (h *holding) read(ctx context.Context, wait time.Duration) (more bool, err error) {
	h.mu.Lock()
	loaded, next := h.loaded, h.state.Next()
	h.mu.Unlock()
	if !loaded {
		return true, h.load(ctx)
	}
	page, err := h.opts.Log.Read(ctx, h.partition, next, wait)
	if errors.Is(err, external.ErrTrimmed) {
		return true, h.load(ctx)
	}
	if err != nil {
		return false, err
	}
	h.opts.StoreAnswered()
	if page.Next == next && next < page.End {
		return false, fmt.Errorf("%w: nothing read at %d before the end at %d", external.ErrUnavailable, next, page.End)
	}
	h.apply(page)
	return page.Next < page.End, nil
}

// readToEnd takes over all that the store has now.
//
// What goes wrong with a single read: one answer holds a megabyte at most, and the
// newest records of all keys come in pages that are no snapshot. A job behind that
// would be taken for one that does not exist, and its caller told so.
func (h *holding) readToEnd(ctx context.Context) error {
	for {
		more, err := h.read(ctx, 0)
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
func (h *holding) load(ctx context.Context) error {
	page, err := h.opts.Log.Newest(ctx, h.partition)
	if err != nil {
		return err
	}
	h.opts.StoreAnswered()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loaded && page.Next <= h.state.Next() {
		return nil
	}
	state := jobs.NewPartition()
	if err := state.Load(page); err != nil {
		_ = level.Error(h.logger).Log("event", "job_records_unreadable", "err", err)
	}
	h.state = state
	h.loaded = true
	_ = level.Info(h.logger).Log("event", "jobs_loaded", "jobs", len(state.Jobs()), "next", state.Next())
	h.tell()
	h.wakeListing()
	return nil
}

func (h *holding) apply(page external.KeyedPage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if page.Next <= h.state.Next() {
		return
	}
	if err := h.state.Apply(page); err != nil {
		_ = level.Error(h.logger).Log("event", "job_records_unreadable", "err", err)
	}
	h.tell()
}

// tell wakes those who wait for a change. It needs the lock.
func (h *holding) tell() {
	close(h.changed)
	h.changed = make(chan struct{})
	if h.onChange != nil {
		go h.onChange(h)
	}
}

// job gives a job as of now, and what is closed at the next change.
func (h *holding) job(id string) (found snapshot, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found.loaded = h.loaded
	if l, ok := h.state.Job(id); ok {
		found.known = true
		found.organisation = l.Organisation
		found.total = len(l.Items)
		found.results = l.Results[:len(l.Results):len(l.Results)]
		found.ended = l.Ended
	}
	return found, h.changed
}

// missing logs that a job is not there, with what that was decided by.
func (h *holding) missing(job, organisation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.state.Job(job)
	_ = level.Info(h.logger).Log("event", "job_not_found", "job", job, "organisation", organisation,
		"of_another", known, "jobs", len(h.state.Jobs()), "next", h.state.Next())
}

// snapshot is a job as it was at one moment. Results that are listed never
// change, so that they may be shared.
type snapshot struct {
	loaded, known bool
	organisation  string
	total         int
	results       []jobs.Result
	ended         bool
}

// open says that results are still to come.
func (s *snapshot) open() bool { return !s.ended && len(s.results) < s.total }

// open gives the items that are to be run, and since when the partition is held.
func (h *holding) open() ([]openItem, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return nil, h.held
	}
	pending := make(map[itemID]bool, len(h.finished))
	for _, f := range h.finished {
		pending[itemID{f.job, f.result.Item}] = true
	}
	var out []openItem
	for _, l := range h.state.Jobs() {
		if !l.Open() {
			continue
		}
		for i := range l.Items {
			id := itemID{l.ID, l.Items[i].ID}
			if !l.Done(id.item) && !pending[id] {
				kept, _ := l.Progress(i)
				out = append(out, openItem{id: id, item: l.Items[i], job: jobOf(l), place: i, kept: kept})
			}
		}
	}
	return out, h.held
}

// jobOf is the job without its items.
func jobOf(l *jobs.Listed) jobs.Job {
	job := l.Job
	job.Items = nil
	return job
}

// finish has a result listed. An item that was run twice may finish twice; the
// first result counts, as long as it waits here and once it is listed.
func (h *holding) finish(f finished) {
	h.mu.Lock()
	waits := slices.ContainsFunc(h.finished, func(other finished) bool {
		return other.job == f.job && other.result.Item == f.result.Item
	})
	if !waits {
		h.finished = append(h.finished, f)
	}
	h.mu.Unlock()
	h.wakeListing()
}
