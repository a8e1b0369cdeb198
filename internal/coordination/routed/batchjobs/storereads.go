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
	// ownerNotLoaded: the owner has not loaded the partition, or does not read it.
	ownerNotLoaded readReason = "owner_not_loaded"
	ownerMissing   readReason = "owner_missing"
	notHeld        readReason = "not_held"
	// isCancellation: the store, not the owner, says whether a job can be cancelled.
	isCancellation readReason = "cancel"
	// forPeer: another instance asks because it does not reach the store.
	forPeer readReason = "for_peer"
)

// readCause says why a call is answered from the store, and which owner did not answer it.
type readCause struct {
	why      readReason
	owner    string
	ownerErr error
}

// Names of the calls on a job in logs.
const (
	callResults = "results"
	callBody    = "body"
	callCancel  = "cancel"
)

// ownCause says why this instance does not answer from a partition that it owns.
func (s *JobService) ownCause(p *partitionReplica) readCause {
	if p.isLoaded() && !p.readsFail() {
		return readCause{why: ownerMissing, owner: s.opts.Member}
	}
	return readCause{why: ownerNotLoaded, owner: s.opts.Member}
}

// storeRead is a call on a job that may be answered from the store. It is logged when it ends.
type storeRead struct {
	call, job string
	cause     readCause

	// began is when reading the store began, zero if it was not read.
	began time.Time
	// from is the offset that reading began at; whole says that nothing was loaded before.
	from  int64
	whole bool
}

// catchUp reads all that the store has now. It notes what was known before.
func (r *storeRead) catchUp(ctx context.Context, p *partitionReplica) error {
	r.began = time.Now()
	r.from, r.whole = p.position()
	return p.catchUp(ctx, storeReadTimeout)
}

// logStoreRead logs and counts a call that ended. err is the error of reading the store.
func (s *JobService) logStoreRead(read *storeRead, p *partitionReplica, verdict Verdict, err error) {
	if read.began.IsZero() {
		if !verdict.isFinal() {
			s.logNotDone(read.call, read.job, read.cause)
		}
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("batch_reads_from_store_total{call=%q,why=%q,outcome=%q}", read.call, read.cause.why, verdict)).Inc()
	next, _ := p.position()
	_ = level.Info(s.opts.Logger).Log("event", "job_read_from_store", "job", read.job, "partition", p.partition.Number,
		"call", read.call, "why", read.cause.why, "owner", read.cause.owner, "owner_err", read.cause.ownerErr, "outcome", verdict,
		"took_ms", time.Since(read.began).Milliseconds(), "whole", read.whole, "from", read.from, "next", next, "err", err)
}

// logNotDone logs and counts a call that was rejected, without a read of the store here.
func (s *JobService) logNotDone(call, job string, cause readCause) {
	metrics.GetOrCreateCounter(fmt.Sprintf("batch_calls_not_done_total{call=%q,why=%q}", call, cause.why)).Inc()
	_ = level.Info(s.opts.Logger).Log("event", "job_call_not_done", "job", job, "partition", s.opts.partitionOf(job).Number,
		"call", call, "why", cause.why, "owner", cause.owner, "owner_err", cause.ownerErr)
}

// position returns the offset of the next record to read, and whether nothing is loaded.
func (p *partitionReplica) position() (next int64, unloaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Next(), !p.loaded
}
