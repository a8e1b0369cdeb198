package batchjobs

import (
	"context"
	"fmt"
	"time"

	"merlintiller/internal/external"
)

// catchUpLimit bounds one read of the store up to its end. A whole partition takes some
// seconds while many instances load theirs.
const catchUpLimit = 15 * time.Second

// catchUpRun is one read of the store up to its end. err is valid once done is closed.
type catchUpRun struct {
	done chan struct{}
	err  error
}

// catchUp waits until the replica has all records that the store had at the time of the
// call. Concurrent callers share the reads of the store. A read goes on when its callers'
// time is up, so that later callers find its result.
//
// If each caller loaded the partition, loads would compete for the store's read rate,
// exceed their callers' limits and be thrown away, and the next callers would begin anew.
func (p *partitionReplica) catchUp(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	run := p.joinCatchUp()
	select {
	case <-run.done:
		return run.err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", external.ErrUnavailable, ctx.Err())
	}
}

// joinCatchUp returns the next run. The current one doesn't do: it may have read the
// store's end before a record that the caller needs was appended.
func (p *partitionReplica) joinCatchUp() *catchUpRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextCatchUp == nil {
		p.nextCatchUp = &catchUpRun{done: make(chan struct{})}
	}
	if !p.catchingUp {
		p.catchingUp = true
		go p.catchUpLoop()
	}
	return p.nextCatchUp
}

// catchUpLoop makes runs as long as callers ask for them.
func (p *partitionReplica) catchUpLoop() {
	for run := p.takeCatchUp(); run != nil; run = p.takeCatchUp() {
		ctx, cancel := context.WithTimeout(context.Background(), catchUpLimit)
		run.err = p.readToEnd(ctx)
		cancel()
		if run.err == nil {
			p.noteRead()
		} else {
			p.failNextCatchUp(run.err)
		}
		close(run.done)
	}
}

// takeCatchUp returns the run to make now, or nil.
func (p *partitionReplica) takeCatchUp() *catchUpRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.nextCatchUp
	p.nextCatchUp = nil
	p.catchingUp = run != nil
	return run
}

// failNextCatchUp ends the next run with the error of the current one. Most of its callers
// may have given up, and a load for them would be wasted.
func (p *partitionReplica) failNextCatchUp(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextCatchUp == nil {
		return
	}
	p.nextCatchUp.err = err
	close(p.nextCatchUp.done)
	p.nextCatchUp = nil
}
