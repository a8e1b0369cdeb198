package batchjobs

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
)

// readReason says why a call on a job is answered from the store.
type readReason string

// The reasons.
const (
	noOwnerKnown    readReason = "no_owner_known"
	ownerNotReached readReason = "owner_not_reached"
	ownerNotLoaded  readReason = "owner_not_loaded"
	ownerMissing    readReason = "owner_missing"
	notHeld         readReason = "not_held"
	// isCancellation: the store, not the owner, says whether a job can be cancelled.
	isCancellation readReason = "cancel"
	// forPeer: another instance asks because it does not reach the store.
	forPeer readReason = "for_peer"
)

// ownerReply is how the owner of a partition replied to a call.
type ownerReply struct {
	// known says that an owner is known, which may be this instance; owner is its name.
	known bool
	owner string
	// err is the error of the call to the owner, verdict its reply if err is nil.
	err     error
	verdict Verdict
}

// answered says that an owner replied.
func (r *ownerReply) answered() bool { return r.known && r.err == nil }

// cause says why a reply with another verdict than Done does not answer the call.
func (r *ownerReply) cause() readCause {
	cause := readCause{why: ownerNotLoaded, owner: r.owner, ownerErr: r.err}
	switch {
	case !r.known:
		cause.why = noOwnerKnown
	case r.err != nil:
		cause.why = ownerNotReached
	case r.verdict == Missing:
		cause.why = ownerMissing
	case r.verdict == NotHeld:
		cause.why = notHeld
	}
	return cause
}

// readCause says why a call is answered from the store, and which owner did not answer it.
type readCause struct {
	why      readReason
	owner    string
	ownerErr error
}

// storeRead is a call on a job that is answered from the store. It is logged when it ends.
type storeRead struct {
	call, job string
	cause     readCause

	began time.Time
	// from is the offset that reading began at; whole says that nothing was loaded before.
	from  int64
	whole bool
}

// catchUpFor returns the partition of a call's job after reading all that the store has
// now. The read notes what was known before.
func (s *JobService) catchUpFor(ctx context.Context, read *storeRead) (*partitionReplica, error) {
	p := s.replicaFor(s.opts.partitionOf(read.job).Number)
	read.began = time.Now()
	read.from, read.whole = p.position()
	return p, p.catchUp(ctx, storeReadTimeout)
}

// logStoreRead logs and counts a read that ended. err is the error of reading the store.
func (s *JobService) logStoreRead(read *storeRead, p *partitionReplica, verdict Verdict, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("batch_reads_from_store_total{call=%q,why=%q,outcome=%q}", read.call, read.cause.why, verdict)).Inc()
	next, _ := p.position()
	_ = level.Info(s.opts.Logger).Log("event", "job_read_from_store", "job", read.job, "partition", p.partition.Number,
		"call", read.call, "why", read.cause.why, "owner", read.cause.owner, "owner_err", read.cause.ownerErr, "outcome", verdict,
		"took_ms", time.Since(read.began).Milliseconds(), "whole", read.whole, "from", read.from, "next", next, "err", err)
}

// position returns the offset of the next record to read, and whether nothing is loaded.
func (p *partitionReplica) position() (next int64, unloaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Next(), !p.loaded
}
