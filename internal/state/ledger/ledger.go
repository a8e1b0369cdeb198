// Package ledger replays the state of batch jobs: manifests, claims of chunks,
// results of items and the end of each job.
//
// The state consists of bitmaps and offsets into DataStream. It contains neither
// inputs nor results, so a million items take a few hundred kilobytes.
package ledger

import (
	"math"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// submitKey identifies a submission when the client sends it again.
type submitKey struct {
	organisation protocol.OrganisationID
	key          string
}

// Ledger is the replayed state of all batch jobs. It is not safe for concurrent
// use.
type Ledger struct {
	jobs map[protocol.JobID]*job
	// running holds the jobs that have not ended. The planner then does not
	// have to iterate over ended jobs that are kept for their results.
	running map[protocol.JobID]*job
	// byIdempotencyKey holds the job that was accepted under each key.
	byIdempotencyKey map[submitKey]protocol.JobID
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		jobs:             map[protocol.JobID]*job{},
		running:          map[protocol.JobID]*job{},
		byIdempotencyKey: map[submitKey]protocol.JobID{},
	}
}

// Apply implements state.Machine.
func (l *Ledger) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	switch {
	case rec.JobSubmit != nil:
		return l.submit(at, rec.JobSubmit)
	case rec.ChunkClaim != nil:
		return l.claim(rec.ID.Session, rec.ChunkClaim, sessions)
	case rec.ChunkRelease != nil:
		return l.release(rec.ID.Session, rec.ChunkRelease)
	case rec.ChunkResult != nil:
		return l.result(at, rec.ChunkResult)
	case rec.ChunkResults != nil:
		return l.results(at, rec.ChunkResults)
	case rec.JobCancel != nil:
		return l.cancel(at, rec.JobCancel)
	case rec.JobExpire != nil:
		return l.expire(at, rec.JobExpire)
	case rec.DataMoved != nil:
		return l.moveData(rec.DataMoved)
	case rec.JobForget != nil:
		return l.forget(rec.JobForget)
	}
	return protocol.Malformed
}

func (l *Ledger) submit(at protocol.Offset, body *protocol.JobSubmit) protocol.Verdict {
	if !validManifest(body) {
		return protocol.Malformed
	}
	key := submitKey{body.Organisation, body.IdempotencyKey}
	if _, used := l.byIdempotencyKey[key]; used && body.IdempotencyKey != "" {
		return protocol.Duplicate
	}
	if _, used := l.jobs[body.Job]; used {
		return protocol.Conflict
	}
	l.add(newJob(at, body))
	return protocol.Accepted
}

func (l *Ledger) add(j *job) {
	l.jobs[j.id] = j
	if j.status == InProgress {
		l.running[j.id] = j
	}
	if j.idempotencyKey != "" {
		l.byIdempotencyKey[submitKey{j.organisation, j.idempotencyKey}] = j.id
	}
}

func validManifest(body *protocol.JobSubmit) bool {
	if body.Job == "" || body.Organisation == "" || len(body.Chunks) == 0 {
		return false
	}
	for _, ref := range body.Chunks {
		if ref.Offset < 0 || ref.Items < 1 || ref.Items > protocol.MaxChunkItems {
			return false
		}
		if ref.First < 0 || ref.First > math.MaxUint16 {
			return false
		}
	}
	return true
}

// runningJob returns a job that has not ended. If there is none, it returns nil
// and the verdict on the record that names the job.
func (l *Ledger) runningJob(id protocol.JobID) (*job, protocol.Verdict) {
	j, ok := l.jobs[id]
	if !ok {
		return nil, protocol.UnknownSubject
	}
	if j.status != InProgress {
		return nil, protocol.AlreadyEnded
	}
	return j, protocol.Accepted
}

// end gives a job its final status and releases its chunks.
func (l *Ledger) end(j *job, status Status, at protocol.Offset, unixSeconds int64) {
	j.status = status
	j.ended = at
	j.endedAt = unixSeconds
	delete(l.running, j.id)
	for i := range j.chunks {
		j.chunks[i].holder = 0
	}
}

// cancel ends a job for the organisation that owns it. Any other organisation
// gets the same verdict as for an unknown job.
func (l *Ledger) cancel(at protocol.Offset, body *protocol.JobCancel) protocol.Verdict {
	existing, ok := l.jobs[body.Job]
	if !ok || existing.organisation != body.Organisation {
		return protocol.UnknownSubject
	}
	j, verdict := l.runningJob(body.Job)
	if j == nil {
		return verdict
	}
	l.end(j, Cancelled, at, body.At)
	return protocol.Accepted
}

func (l *Ledger) expire(at protocol.Offset, body *protocol.JobExpire) protocol.Verdict {
	j, verdict := l.runningJob(body.Job)
	if j == nil {
		return verdict
	}
	l.end(j, Expired, at, body.At)
	return protocol.Accepted
}

// forget deletes an ended job. A running job is kept, since an accepted job must
// end before it may be deleted.
func (l *Ledger) forget(body *protocol.JobForget) protocol.Verdict {
	j, ok := l.jobs[body.Job]
	if !ok {
		return protocol.UnknownSubject
	}
	if j.status == InProgress {
		return protocol.Conflict
	}
	delete(l.jobs, j.id)
	if j.idempotencyKey != "" {
		delete(l.byIdempotencyKey, submitKey{j.organisation, j.idempotencyKey})
	}
	return protocol.Accepted
}
