package batchjobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/mesh"
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
	// hedgeAfter is how long one way of writing a job may take until the other is
	// tried beside it. The store answers within some 20 ms; callers want a job
	// accepted within some hundred.
	hedgeAfter = 150 * time.Millisecond
	// appendRetry is the wait before an append is tried again, doubled each time,
	// appendTries how often that is done: about a second in all.
	appendRetry = 60 * time.Millisecond
	appendTries = 4
	// handOverTimeout bounds the writing through another instance.
	handOverTimeout = 1200 * time.Millisecond
)

var (
	jobsAccepted = metrics.NewCounter(`batch_jobs_total{outcome="accepted"}`)
	jobsRefused  = metrics.NewCounter(`batch_jobs_total{outcome="refused"}`)
	jobsUnsure   = metrics.NewCounter(`batch_jobs_total{outcome="unsure"}`)
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

// Submit has a job kept. Done means that it lasts.
func (d *Desk) Submit(ctx context.Context, job *jobs.Job) Verdict {
	verdict := d.submit(ctx, job)
	switch verdict {
	case Done:
		jobsAccepted.Inc()
	case NotDone:
		jobsRefused.Inc()
	default:
		jobsUnsure.Inc()
	}
	_ = level.Info(d.opts.Logger).Log("event", "job_submitted", "job", job.ID, "organisation", job.Organisation,
		"items", len(job.Items), "partition", d.opts.partitionOf(job.ID).Number, "outcome", verdict,
		"store_age_ms", d.opts.StoreAge().Milliseconds())
	return verdict
}

// submit writes a job, here or through another instance, whichever is answered
// first. Writing it twice does no harm.
//
// What goes wrong without the second way: the store turns some instances away
// and serves the others. A caller whose attempts meet two of those has its job
// refused, or waits for a store that does not answer, though the store is there.
func (d *Desk) submit(ctx context.Context, job *jobs.Job) Verdict {
	if d.known(ctx, job.ID) {
		return Done
	}
	ways := make(chan Verdict, 2)
	tries := 0
	start := func(way func(context.Context, *jobs.Job) Verdict) {
		tries++
		go func() { ways <- way(ctx, job) }()
	}
	here := d.opts.StoreAge() < storeAway
	if here {
		start(d.write)
	} else {
		start(d.handOver)
	}
	slow := time.NewTimer(hedgeAfter)
	defer slow.Stop()
	verdict := NotDone
	for ended := 0; ended < tries; {
		select {
		case way := <-ways:
			ended++
			if way == Done {
				return Done
			}
			if way != NotDone {
				verdict = Unsure
			}
		case <-slow.C:
		}
		if tries == 1 && ctx.Err() == nil {
			if here {
				start(d.handOver)
			} else {
				start(d.write)
			}
		}
	}
	return verdict
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
	holder, ok := d.opts.Peers.Holder(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.opts.Caller.Call(ctx, holder.Address, method, args, reply) == nil
}

// write appends a job's records. A job may be written twice: the second time
// changes nothing.
func (d *Desk) write(ctx context.Context, job *jobs.Job) Verdict {
	records, err := jobs.EncodeJob(job, d.opts.RecordBytes)
	if err != nil {
		_ = level.Warn(d.opts.Logger).Log("event", "job_not_encoded", "job", job.ID, "err", err)
		return NotDone
	}
	return d.append(ctx, d.opts.partitionOf(job.ID), records)
}

// append writes records in as many calls as the store's bound wants, the last of
// which makes them count.
func (d *Desk) append(ctx context.Context, p external.Partition, records []external.KeyedRecord) Verdict {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) {
			size += len(records[n].Key) + len(records[n].Value) + recordHead
			if n > 0 && size > d.opts.CallBytes {
				break
			}
			n++
		}
		if verdict := d.appendOnce(ctx, p, records[:n]); verdict != Done {
			return verdict
		}
		records = records[n:]
	}
	return Done
}

// recordHead is what the store counts beside a record's key and value.
const recordHead = 8

// appendOnce repeats one append a few times until it is answered or ctx ends.
func (d *Desk) appendOnce(ctx context.Context, p external.Partition, records []external.KeyedRecord) Verdict {
	verdict := NotDone
	for try := 0; ; try++ {
		_, err := d.opts.Log.Append(ctx, p, records, external.AnyEnd)
		if err == nil {
			d.opts.StoreAnswered()
			return Done
		}
		_ = level.Warn(d.opts.Logger).Log("event", "job_append_failed", "partition", p.Number, "err", err)
		if errors.Is(err, external.ErrUnavailable) {
			verdict = Unsure
		}
		if errors.Is(err, external.ErrFull) || try == appendTries {
			return verdict
		}
		sleep(ctx, appendRetry<<try)
		if ctx.Err() != nil {
			return verdict
		}
	}
}

// handOver has another instance write a job, one that the store answers.
func (d *Desk) handOver(ctx context.Context, job *jobs.Job) Verdict {
	verdict := NotDone
	d.elsewhere(ctx, func(ctx context.Context, address string) bool {
		var reply JobReply
		err := d.opts.Caller.Call(ctx, address, methodAccept, &AcceptCall{Job: *job}, &reply)
		switch {
		case err == nil && reply.Verdict == Done:
			verdict = Done
		case err != nil || reply.Verdict != NotDone:
			verdict = Unsure
		}
		return verdict == Done
	})
	return verdict
}

// mostElsewhere bounds the instances that are asked in place of the store.
const mostElsewhere = 2

// elsewhere asks instances that the store answers, one after the other, until
// one has done what is asked.
func (d *Desk) elsewhere(ctx context.Context, ask func(ctx context.Context, address string) bool) {
	asked := 0
	for _, p := range d.opts.Peers.Peers() {
		if p.State != mesh.Up || p.Beat.Leaving || p.Beat.StoreAge >= storeAway {
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
		d.elsewhere(ctx, func(ctx context.Context, address string) bool {
			var theirs ResultsReply
			if d.opts.Caller.Call(ctx, address, methodReadFor, &call, &theirs) == nil {
				reply = theirs
			}
			return reply.Verdict != NotDone
		})
	}
	return reply
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
	holder, ok := d.opts.Peers.Holder(number)
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
		d.elsewhere(ctx, func(ctx context.Context, address string) bool {
			var theirs BodyReply
			if d.opts.Caller.Call(ctx, address, methodBodyFor, &call, &theirs) == nil {
				reply = theirs
			}
			return reply.Verdict != NotDone
		})
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
		return h.absent(found)
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
