// Package ledger replays batch jobs: their manifests, the claims of chunks,
// the results of items, and how a job ends.
//
// It keeps offsets into DataStream and bitmaps, never inputs or results, so
// that a million items cost a few hundred kilobytes.
package ledger

import (
	"math"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// submitKey identifies a submission across resends.
type submitKey struct {
	organisation protocol.OrganisationID
	key          string
}

// Ledger is the replayed state. It is not safe for concurrent use.
type Ledger struct {
	jobs map[protocol.JobID]*job
	// running holds the jobs that have not ended, so that planning does not
	// pass over all that are only kept for their results.
	running map[protocol.JobID]*job
	first   map[submitKey]protocol.JobID
}

// New returns the empty state.
func New() *Ledger {
	return &Ledger{
		jobs:    map[protocol.JobID]*job{},
		running: map[protocol.JobID]*job{},
		first:   map[submitKey]protocol.JobID{},
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
		return l.moved(rec.DataMoved)
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
	if _, taken := l.first[key]; taken && body.IdempotencyKey != "" {
		return protocol.Duplicate
	}
	if _, taken := l.jobs[body.Job]; taken {
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
		l.first[submitKey{j.organisation, j.idempotencyKey}] = j.id
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

// open finds a job that has not ended, or the verdict on a record about it.
func (l *Ledger) open(id protocol.JobID) (*job, protocol.Verdict) {
	j, ok := l.jobs[id]
	if !ok {
		return nil, protocol.UnknownSubject
	}
	if j.status != InProgress {
		return nil, protocol.AlreadyEnded
	}
	return j, protocol.Accepted
}

func (l *Ledger) end(j *job, status Status, at protocol.Offset, unixSeconds int64) {
	j.status = status
	j.ended = at
	j.endedAt = unixSeconds
	delete(l.running, j.id)
	for i := range j.chunks {
		j.chunks[i].holder = 0
	}
}

// cancel stops a job for its owner. To anyone else the job does not exist.
func (l *Ledger) cancel(at protocol.Offset, body *protocol.JobCancel) protocol.Verdict {
	known, ok := l.jobs[body.Job]
	if !ok || known.organisation != body.Organisation {
		return protocol.UnknownSubject
	}
	j, verdict := l.open(body.Job)
	if j == nil {
		return verdict
	}
	l.end(j, Cancelled, at, body.At)
	return protocol.Accepted
}

func (l *Ledger) expire(at protocol.Offset, body *protocol.JobExpire) protocol.Verdict {
	j, verdict := l.open(body.Job)
	if j == nil {
		return verdict
	}
	l.end(j, Expired, at, body.At)
	return protocol.Accepted
}

// forget drops an ended job. A running one is kept: what was accepted must
// complete first.
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
		delete(l.first, submitKey{j.organisation, j.idempotencyKey})
	}
	return protocol.Accepted
}
