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

// DataRefresher is the background service that appends live data again before
// the platform's retention removes it. Without it, a job or result older than
// the retention time would be lost. Operators would see the event
// chunk_input_lost in the logs, and callers would receive refusals with code
// "gone" when they read results. Data is refreshed after a fraction of the
// retention time, which leaves the rest to recover from an outage.
type DataRefresher struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	limiter *rate.Limiter
}

// refreshRate limits the refreshed entries of one instance, in entries per second.
// The log accepts several hundred per second, so refreshing uses a small part of
// its capacity.
const refreshRate = 5

// NewDataRefresher returns a DataRefresher that uses the journal of an instance.
func NewDataRefresher(journal coordination.Journal, opts Options, logger log.Logger) *DataRefresher {
	return &DataRefresher{
		journal: journal,
		opts:    opts.withDefaults(),
		logger:  logger,
		limiter: rate.NewLimiter(refreshRate, 1),
	}
}

// String returns the name of the service for the supervisor.
func (r *DataRefresher) String() string { return "batch carrier" }

// Serve refreshes old data every RefreshInterval until ctx ends.
func (r *DataRefresher) Serve(ctx context.Context) error {
	return wait.Every(ctx, r.opts.RefreshInterval, func() {
		if err := r.pass(ctx); err != nil {
			_ = r.logger.Log("event", "carry_stopped", "err", err)
		}
	})
}

// pass refreshes the old data of all jobs that are assigned to this session.
func (r *DataRefresher) pass(ctx context.Context) error {
	session := r.journal.Session()
	if session == 0 || !r.journal.LogUp() {
		return nil
	}
	jobs, end := r.assignedJobs(session)
	if len(jobs) == 0 {
		return nil
	}
	cutoff, err := r.firstEntrySince(ctx, time.Now().Add(-r.opts.RefreshAge), end)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, job := range jobs {
		if err := r.refreshJob(ctx, job, cutoff); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// assignedJobs returns the jobs whose data this session refreshes, and the offset
// after the newest entry that they use.
func (r *DataRefresher) assignedJobs(session protocol.SessionID) (jobs []protocol.JobID, end protocol.Offset) {
	r.journal.View(func(state *replica.State) {
		open := openSessions(state)
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

// maxOffset is greater than the offset of every entry.
const maxOffset = protocol.Offset(1<<63 - 1)

// firstEntrySince finds the first entry of DataStream written at or after a time.
// It uses binary search over the times in the entries, because the log itself
// stores no times.
func (r *DataRefresher) firstEntrySince(ctx context.Context, since time.Time, end protocol.Offset) (protocol.Offset, error) {
	low, high := protocol.Offset(0), end
	for low < high {
		middle := low + (high-low)/2
		old, err := r.writtenBefore(ctx, middle, since)
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

// writtenBefore reports whether an entry was written before a time. It is also
// true for an entry that has been removed or can't be decoded: the search then
// ends at a later entry, and refreshing too much is harmless.
func (r *DataRefresher) writtenBefore(ctx context.Context, at protocol.Offset, since time.Time) (bool, error) {
	entry, err := newPersistentEntryReader(r.journal).read(ctx, at)
	if isUnrecoverable(err) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return entry.At < since.Unix(), nil
}

// refreshJob copies the entries of a job that precede the offset cutoff.
func (r *DataRefresher) refreshJob(ctx context.Context, job protocol.JobID, cutoff protocol.Offset) error {
	chunksAt := map[protocol.Offset][]ledger.ChunkID{}
	var offsets []protocol.Offset
	r.journal.View(func(state *replica.State) {
		for _, ref := range state.Ledger.DataBefore(job, cutoff) {
			if len(chunksAt[ref.Offset]) == 0 {
				offsets = append(offsets, ref.Offset)
			}
			chunksAt[ref.Offset] = append(chunksAt[ref.Offset], ref.ChunkID)
		}
	})
	for _, at := range offsets {
		err := r.copyEntry(ctx, at, chunksAt[at])
		if errors.Is(err, external.ErrTrimmed) {
			counters.Add("carried_too_late", 1)
			_ = r.logger.Log("event", "data_lost", "job", job, "offset", at)
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// copyEntry appends a copy of an entry and records its offset as the new location
// of the chunks. A crash in between leaves an unused copy.
func (r *DataRefresher) copyEntry(ctx context.Context, from protocol.Offset, chunks []ledger.ChunkID) error {
	if err := r.limiter.Wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	entry, err := newPersistentEntryReader(r.journal).read(ctx, from)
	if err != nil {
		return err
	}
	payload, err := bulk.Encode(refreshedEntry(entry, chunks))
	if err != nil {
		return trace.Wrap(err)
	}
	to, err := r.journal.AppendData(ctx, payload)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range chunks {
		moved := &protocol.DataMoved{Job: id.Job, Chunk: id.Chunk, From: from, To: to}
		if outcome := r.journal.Submit(ctx, protocol.Record{DataMoved: moved}); outcome.Run != protocol.Completed {
			return trace.Wrap(fmt.Errorf("record the new offset of the data of chunk %v, before at %d: %w", id, from, outcome.Err))
		}
	}
	counters.Add("carried", 1)
	return nil
}

// refreshedEntry returns an entry with the current time and without the results
// of other chunks.
func refreshedEntry(entry bulk.Entry, chunks []ledger.ChunkID) bulk.Entry {
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
