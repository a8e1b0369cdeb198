package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/wait"
)

// DataRefresher is the duty that appends live data anew before the platform drops
// it. Without it, a job or result older than the retention time would vanish;
// one would notice by chunk_input_lost in the logs and by refusals with code
// gone when results are read. Carrying at a fraction of the retention time
// leaves the rest for an outage.
type DataRefresher struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	pace    *rate.Limiter
}

// carryPace bounds what one instance appends while it carries, in entries a
// second: a small part of the several hundred that the log takes.
const carryPace = 5

// NewDataRefresher returns a Carrier.
func NewDataRefresher(journal coordination.Journal, opts Options, logger log.Logger) *DataRefresher {
	return &DataRefresher{
		journal: journal,
		opts:    opts.withDefaults(),
		logger:  logger,
		pace:    rate.NewLimiter(carryPace, 1),
	}
}

// String names the duty.
func (c *DataRefresher) String() string { return "batch carrier" }

// Serve looks for old data until ctx ends.
func (c *DataRefresher) Serve(ctx context.Context) error {
	return wait.Every(ctx, c.opts.RefreshInterval, func() {
		if err := c.pass(ctx); err != nil {
			_ = c.logger.Log("event", "carry_stopped", "err", err)
		}
	})
}

func (c *DataRefresher) pass(ctx context.Context) error {
	session := c.journal.Session()
	if session == 0 || !c.journal.LogUp() {
		return nil
	}
	jobs, newest := c.ownJobs(session)
	if len(jobs) == 0 {
		return nil
	}
	cut, err := c.firstSince(ctx, time.Now().Add(-c.opts.RefreshAge), newest)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, job := range jobs {
		if err := c.carryJob(ctx, job, cut); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// ownJobs lists the jobs whose data this session carries, and the position
// after the newest entry that they use.
func (c *DataRefresher) ownJobs(session protocol.SessionID) (jobs []protocol.JobID, end protocol.Offset) {
	c.journal.View(func(state *replica.State) {
		open := openIDs(state)
		for _, job := range state.Ledger.All() {
			if rank(open, session, job.ID) != 0 {
				continue
			}
			jobs = append(jobs, job.ID)
			for _, ref := range state.Ledger.DataBefore(job.ID, maxOffset) {
				end = max(end, ref.Offset+1)
			}
		}
	})
	return jobs, end
}

const maxOffset = protocol.Offset(1<<63 - 1)

// firstSince finds the first entry of DataStream written since a time, by
// bisection: the log knows no times, so the entries carry them.
func (c *DataRefresher) firstSince(ctx context.Context, since time.Time, end protocol.Offset) (protocol.Offset, error) {
	low, high := protocol.Offset(0), end
	for low < high {
		middle := low + (high-low)/2
		old, err := c.olderThan(ctx, middle, since)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if old {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}

// olderThan says whether an entry was written before a time. An entry that has
// gone is old, and so is one that can't be read: carrying too much is harmless.
func (c *DataRefresher) olderThan(ctx context.Context, at protocol.Offset, since time.Time) (bool, error) {
	entry, err := newEntryReader(c.journal).read(ctx, at)
	if isLost(err) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return entry.At < since.Unix(), nil
}

func (c *DataRefresher) carryJob(ctx context.Context, job protocol.JobID, cut protocol.Offset) error {
	chunksAt := map[protocol.Offset][]ledger.ChunkID{}
	var order []protocol.Offset
	c.journal.View(func(state *replica.State) {
		for _, ref := range state.Ledger.DataBefore(job, cut) {
			if len(chunksAt[ref.Offset]) == 0 {
				order = append(order, ref.Offset)
			}
			chunksAt[ref.Offset] = append(chunksAt[ref.Offset], ref.ChunkID)
		}
	})
	for _, at := range order {
		err := c.move(ctx, at, chunksAt[at])
		if errors.Is(err, external.ErrTrimmed) {
			counters.Add("carried_too_late", 1)
			_ = c.logger.Log("event", "data_lost", "job", job, "offset", at)
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// move appends an entry anew and points its chunks to it. A crash in between
// leaves an unused copy.
func (c *DataRefresher) move(ctx context.Context, from protocol.Offset, chunks []ledger.ChunkID) error {
	if err := c.pace.Wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	entry, err := newEntryReader(c.journal).read(ctx, from)
	if err != nil {
		return err
	}
	payload, err := bulk.Encode(renewed(entry, chunks))
	if err != nil {
		return trace.Wrap(err)
	}
	to, err := c.journal.AppendData(ctx, payload)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range chunks {
		moved := &protocol.DataMoved{Job: id.Job, Chunk: id.Chunk, From: from, To: to}
		if outcome := c.journal.Submit(ctx, protocol.Record{DataMoved: moved}); outcome.Run != protocol.Completed {
			return trace.Wrap(fmt.Errorf("data of %v at %d not moved: %w", id, from, outcome.Err))
		}
	}
	counters.Add("carried", 1)
	return nil
}

// renewed is an entry as of now, without the sections of other chunks.
func renewed(entry bulk.Entry, chunks []ledger.ChunkID) bulk.Entry {
	entry.At = time.Now().Unix()
	wanted := map[ledger.ChunkID]bool{}
	for _, id := range chunks {
		wanted[id] = true
	}
	var kept []bulk.Section
	for _, section := range entry.Results {
		if wanted[ledger.ChunkID{Job: section.Job, Chunk: section.Chunk}] {
			kept = append(kept, section)
		}
	}
	entry.Results = kept
	return entry
}
