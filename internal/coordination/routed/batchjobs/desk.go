package batchjobs

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
)

const (
	// askTimeout bounds a question to the holder of a partition. Instances are
	// some milliseconds apart; whoever does not answer is gone around.
	askTimeout = 300 * time.Millisecond
	// freshTimeout bounds the reading of the store before a job is said not to
	// exist.
	freshTimeout = 800 * time.Millisecond
	// storeAway is the time without an answer of the store after which another
	// instance is asked to write instead.
	storeAway = 1200 * time.Millisecond
)

// Desk takes the calls of batch jobs at any instance.
type Desk struct {
	opts   *Options
	keeper *Keeper
	runner *Runner

	mu sync.Mutex
	// copies are partitions of others, read from the store when their holders
	// can't be asked.
	copies map[int]*holding
}

// NewDesk returns a desk.
func NewDesk(opts *Options, keeper *Keeper, runner *Runner) *Desk {
	return &Desk{opts: opts, keeper: keeper, runner: runner, copies: map[int]*holding{}}
}

// known asks the holder whether a job is there already, as after a repeat. The
// answer saves writing the job once more; without one it is written.
func (d *Desk) known(ctx context.Context, job string) bool {
	number := d.opts.partitionOf(job).Number
	if h, ok := d.keeper.holding(number); ok {
		return h.known(job) == Done
	}
	var reply JobReply
	if !d.ask(ctx, number, methodKnown, &JobCall{Job: job}, &reply) {
		return false
	}
	return reply.Verdict == Done
}

// ask calls the holder of a partition.
func (d *Desk) ask(ctx context.Context, number int, method string, args, reply any) bool {
	holder, ok := d.opts.Peers.OwnerOf(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.opts.Caller.Call(ctx, holder.Address, method, args, reply) == nil
}

// mostElsewhere bounds the instances that are asked in place of the store.
const mostElsewhere = 2

// elsewhere asks instances that the store answers, one after the other, until
// one has done what is asked.
func (d *Desk) elsewhere(ctx context.Context, ask func(ctx context.Context, address string) bool) {
	asked := 0
	for _, p := range d.opts.Peers.Peers() {
		if p.State != mesh.Up || p.Heartbeat.Leaving || p.Heartbeat.StoreAge >= storeAway {
			continue
		}
		if asked == mostElsewhere || ctx.Err() != nil {
			return
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, handOverTimeout)
		done := ask(limited, p.Address)
		cancel()
		if done {
			return
		}
	}
}

// Results gives results of a job: from the holder of its partition, else from the
// store, else through an instance that the store answers.
func (d *Desk) Results(ctx context.Context, call ResultsCall) ResultsReply {
	number := d.opts.partitionOf(call.Job).Number
	if h, ok := d.keeper.holding(number); ok {
		if reply := h.results(ctx, call); reply.Verdict == Done {
			return reply
		}
	} else if reply, ok := d.askResults(ctx, number, call); ok && reply.Verdict == Done {
		return reply
	}
	call.Wait = 0
	reply := d.resultsHere(ctx, call)
	if reply.Verdict == NotDone {
		throughOthers(ctx, d, methodReadFor, &call, &reply, func(r *ResultsReply) Verdict { return r.Verdict })
	}
	return reply
}

// throughOthers has instances that the store answers read what could not be read
// here, until one of them has.
func throughOthers[R any](ctx context.Context, d *Desk, method string, call any, reply *R, verdict func(*R) Verdict) {
	d.elsewhere(ctx, func(ctx context.Context, address string) bool {
		var theirs R
		if d.opts.Caller.Call(ctx, address, method, call, &theirs) == nil {
			*reply = theirs
		}
		return verdict(reply) != NotDone
	})
}

// resultsHere gives results as the store has them now.
func (d *Desk) resultsHere(ctx context.Context, call ResultsCall) ResultsReply {
	h, err := d.fresh(ctx, d.opts.partitionOf(call.Job).Number)
	if err != nil {
		return ResultsReply{Verdict: NotDone}
	}
	return h.results(ctx, call)
}

func (d *Desk) askResults(ctx context.Context, number int, call ResultsCall) (ResultsReply, bool) {
	holder, ok := d.opts.Peers.OwnerOf(number)
	if !ok {
		return ResultsReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, call.Wait+askTimeout)
	defer cancel()
	var reply ResultsReply
	err := d.opts.Caller.Call(ctx, holder.Address, methodResults, &call, &reply)
	return reply, err == nil
}

// Body gives the body of an item that is not listed yet.
func (d *Desk) Body(ctx context.Context, call BodyCall) BodyReply {
	number := d.opts.partitionOf(call.Job).Number
	var reply BodyReply
	if h, ok := d.keeper.holding(number); ok {
		reply = h.body(call)
	} else if !d.ask(ctx, number, methodBody, &call, &reply) {
		reply.Verdict = NotHeld
	}
	if reply.Verdict == Done {
		return reply
	}
	reply = d.bodyHere(ctx, call)
	if reply.Verdict == NotDone {
		throughOthers(ctx, d, methodBodyFor, &call, &reply, func(r *BodyReply) Verdict { return r.Verdict })
	}
	return reply
}

// bodyHere gives an item's body as the store has it now.
func (d *Desk) bodyHere(ctx context.Context, call BodyCall) BodyReply {
	h, err := d.fresh(ctx, d.opts.partitionOf(call.Job).Number)
	if err != nil {
		return BodyReply{Verdict: NotDone}
	}
	return h.body(call)
}

// End ends a job, here or through an instance that the store answers.
func (d *Desk) End(ctx context.Context, call JobCall) Verdict {
	verdict := NotDone
	if d.opts.StoreAge() < storeAway {
		verdict = d.endHere(ctx, call)
	}
	if verdict == NotDone || verdict == Unsure {
		d.elsewhere(ctx, func(ctx context.Context, address string) bool {
			var reply JobReply
			if err := d.opts.Caller.Call(ctx, address, methodEndFor, &call, &reply); err != nil {
				verdict = Unsure
				return false
			}
			if reply.Verdict == Done || reply.Verdict == Missing {
				verdict = reply.Verdict
				return true
			}
			return false
		})
	}
	_ = level.Info(d.opts.Logger).Log("event", "job_ended", "job", call.Job, "outcome", verdict)
	return verdict
}

// endHere writes the mark that ends a job. The mark is written once: a repeat
// finds it.
func (d *Desk) endHere(ctx context.Context, call JobCall) Verdict {
	h, err := d.fresh(ctx, d.opts.partitionOf(call.Job).Number)
	if err != nil {
		return NotDone
	}
	found, _ := h.job(call.Job)
	switch {
	case !found.known || found.organisation != call.Organisation:
		return h.absent(found, call.Job, call.Organisation)
	case found.ended:
		return Done
	}
	return d.append(ctx, d.opts.partitionOf(call.Job), []external.KeyedRecord{jobs.EncodeEnd(call.Job)})
}

// fresh gives a partition as the store has it now. Nobody may say that a job
// does not exist by what it knew before.
func (d *Desk) fresh(ctx context.Context, number int) (*holding, error) {
	h, held := d.keeper.holding(number)
	if !held {
		h = d.copy(number)
	}
	return h, h.ready(ctx, freshTimeout)
}

func (d *Desk) copy(number int) *holding {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.copies[number]
	if h == nil {
		h = newHolding(d.opts, external.Partition{Topic: d.opts.Topic, Number: number}, nil)
		d.copies[number] = h
	}
	return h
}

// Yield gives the slot of a batch item back that a broker gave to an instance. It
// says whether the instance was reached.
func (d *Desk) Yield(instance string, number uint64) bool {
	for _, p := range d.opts.Peers.Peers() {
		if p.Name != instance {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var reply JobReply
		if err := d.opts.Caller.Call(ctx, p.Address, methodYield, &YieldCall{Number: number}, &reply); err != nil {
			_ = level.Info(d.opts.Logger).Log("event", "yield_failed", "peer", instance, "err", err)
			return false
		}
		return true
	}
	d.runner.Yield(number)
	return true
}
