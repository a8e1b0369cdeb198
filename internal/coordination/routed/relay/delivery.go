package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/answerbuffer"
)

const (
	// maxWrite bounds the bytes of one write to a caller. It is below the 29 KB that have to become
	// free in the kernel's send buffer before a blocked write goes on, so that one write blocks at
	// most once: for up to 29 s with a caller that reads 1 KB/s, of the time limit of 30 s.
	maxWrite = 16 << 10
	// stoppedLogInterval is the time after a line on a stopped read within which there is no
	// further one. The metric counts all of them.
	stoppedLogInterval = time.Second
)

// BufferedSink is a Sink whose parts may be written later than they arrive.
type BufferedSink interface {
	Sink
	// SendParts sends parts of the body in one write. It permits callers that read slowly.
	SendParts(parts [][]byte) error
	// Abort makes the current and all later writes fail.
	Abort()
}

// delivery writes the answer of one request to its caller while further parts arrive from the
// target. The parts that the caller has not read are held in a buffer.
//
// Without it, each write would wait for the caller, and a caller that reads slowly would keep its
// target's slot occupied.
type delivery struct {
	relay  *Relay
	call   *call
	sink   BufferedSink
	budget *answerbuffer.Budget
	// cancel ends the exchange with the target. It is called when the caller can't be written to.
	cancel context.CancelCauseFunc
	// added wakes the writer, written the goroutine that reads from the target.
	added, written chan struct{}
	// done is closed when the writer has ended.
	done chan struct{}

	mu      sync.Mutex
	buffer  *answerbuffer.Buffer
	started bool
	// lent is set while send waits for the writer to write a part that is not copied.
	lent bool
	// complete is set once no further parts follow.
	complete bool
	err      error
}

func newDelivery(c *call, sink BufferedSink, cancel context.CancelCauseFunc) *delivery {
	return &delivery{
		relay: c.Relay, call: c, sink: sink, budget: c.opts.AnswerBuffers, cancel: cancel,
		added: make(chan struct{}, 1), written: make(chan struct{}, 1), done: make(chan struct{}),
		buffer: answerbuffer.NewBuffer(c.opts.AnswerBuffers),
	}
}

// hold keeps a part that is not yet to be written. It returns false if it does not fit.
func (d *delivery) hold(part []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.buffer.Append(time.Now(), part) == answerbuffer.Fits
}

// discard drops the parts that hold kept.
func (d *delivery) discard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.buffer.Discard()
}

// write lets the writer write what is held.
func (d *delivery) write() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started && !d.buffer.Empty() {
		d.started = true
		go d.writeParts()
	}
	wakeUp(d.added)
}

func wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// send takes a part over for delivery. It waits only if the part can't be held: then the target is
// not read further, as without a buffer. The wait ends with the exchange.
func (d *delivery) send(part []byte, monitor *stallMonitor) error {
	if taken, err := d.tryAppend(part); taken || err != nil {
		return err
	}
	// The target is not to blame for the time until the caller reads.
	monitor.suspend()
	defer monitor.resume()
	began := time.Now()
	defer func() { d.call.outcome.ReadStopped += time.Since(began) }()
	readsStopped.Inc()
	for {
		relieved, stop := d.budget.Relieved()
		taken, err := d.appendOrLend(part)
		if !taken && err == nil {
			select {
			case <-d.written:
			case <-relieved:
			case <-monitor.ctx.Done():
				taken, err = d.endWait(monitor.ctx.Err())
			}
		}
		stop()
		if taken || err != nil {
			return err
		}
	}
}

// tryAppend adds a part to the buffer, if it fits, and has it written.
func (d *delivery) tryAppend(part []byte) (taken bool, err error) {
	d.mu.Lock()
	if d.err != nil {
		defer d.mu.Unlock()
		return false, d.err
	}
	now := time.Now()
	verdict := d.buffer.Append(now, part)
	if verdict != answerbuffer.Fits {
		d.relay.logReadStopped(d.call, now, verdict, d.buffer.Counted(), len(part))
	}
	d.mu.Unlock()
	d.write()
	return verdict == answerbuffer.Fits, nil
}

// appendOrLend adds a part to the buffer and has it written. If it does not fit, it is lent to the
// writer once the buffer is empty, and counts as taken when it is written.
func (d *delivery) appendOrLend(part []byte) (taken bool, err error) {
	d.mu.Lock()
	now := time.Now()
	switch {
	case d.err != nil:
		err = d.err
	case d.lent:
		taken = d.buffer.Empty()
	case d.buffer.Append(now, part) == answerbuffer.Fits:
		taken = true
	case d.buffer.Empty():
		d.buffer.Lend(now, part)
		d.lent = true
	}
	if taken || err != nil {
		d.lent = false
	}
	d.mu.Unlock()
	if err == nil {
		d.write()
	}
	return taken, err
}

// endWait ends the wait of send because of cause. A lent part counts as taken, since the writer may
// be writing it: a stream that resumes before it would send it twice. No further part may be read into
// its memory then.
func (d *delivery) endWait(cause error) (taken bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lent := d.lent
	d.lent = false
	switch {
	case d.err != nil:
		return false, d.err
	case lent:
		return true, nil
	default:
		return false, cause
	}
}

// writeParts writes to the caller what is held, until the answer is complete or a write fails.
func (d *delivery) writeParts() {
	defer close(d.done)
	var parts [][]byte
	for {
		d.mu.Lock()
		next, size := d.buffer.Next(parts[:0], maxWrite)
		parts = next
		complete := d.complete
		d.mu.Unlock()
		if size == 0 {
			if complete {
				return
			}
			<-d.added
			continue
		}
		err := d.sink.SendParts(parts)
		clear(parts)
		if err != nil {
			d.fail(errors.Join(errCallerDisconnected, err))
			return
		}
		d.mu.Lock()
		d.buffer.Advance(time.Now(), size)
		d.mu.Unlock()
		wakeUp(d.written)
	}
}

// fail frees the bytes of a caller that can't be written to, and ends the exchange.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	d.err = err
	d.call.noteLag(d.buffer.Stats(time.Now()))
	d.buffer.Discard()
	d.mu.Unlock()
	wakeUp(d.written)
	d.cancel(err)
}

// finish waits until the caller has received what is held, or is gone: ctx ends when the caller
// disconnects or the instance exits. The request's deadline does not apply, since the target has
// done its work.
func (d *delivery) finish(ctx context.Context) error {
	d.mu.Lock()
	d.complete = true
	started := d.started
	d.mu.Unlock()
	if !started {
		d.discard()
		return nil
	}
	wakeUp(d.added)
	select {
	case <-d.done:
	case <-ctx.Done():
		d.abort()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.call.noteLag(d.buffer.Stats(time.Now()))
	return d.err
}

// abort ends the writer, if it still runs, and frees what is held.
func (d *delivery) abort() {
	d.mu.Lock()
	d.complete = true
	started := d.started
	d.mu.Unlock()
	defer d.discard()
	if !started {
		return
	}
	select {
	case <-d.done:
		// The end of the response is still to be written.
		return
	default:
	}
	d.sink.Abort()
	wakeUp(d.added)
	<-d.done
}

// noteLag records how far the caller lagged.
func (c *call) noteLag(stats answerbuffer.Stats) {
	c.outcome.HeldBytes = max(c.outcome.HeldBytes, stats.PeakBytes)
	c.outcome.CallerLag = max(c.outcome.CallerLag, stats.Lag)
}

// finishDelivery delivers what is held once no further target is read. ctx is that of the caller.
func (c *call) finishDelivery(ctx context.Context) {
	if c.delivery == nil {
		return
	}
	if c.ReleaseBody != nil {
		c.ReleaseBody()
	}
	err := c.delivery.finish(ctx)
	if err == nil || c.outcome.Reason != Relayed {
		return
	}
	c.outcome.Reason = CallerDisconnected
	if errors.Is(context.Cause(ctx), ErrInterrupted) {
		c.outcome.Reason = Interrupted
	}
}

// readsStopped counts the parts of answers for which reading from a target was stopped.
var readsStopped = metrics.NewCounter("answer_reads_stopped_total")

// logReadStopped logs that a part of an answer could not be held.
func (r *Relay) logReadStopped(c *call, now time.Time, verdict answerbuffer.Verdict, own int64, size int) {
	r.stoppedMu.Lock()
	defer r.stoppedMu.Unlock()
	r.stoppedCount++
	if now.Sub(r.stoppedLogged) < stoppedLogInterval {
		return
	}
	levels := c.opts.AnswerBuffers.Levels()
	_ = level.Info(r.opts.Logger).Log("event", "answer_read_stopped", "request", c.Request.ID, "target", c.outcome.Target, "why", verdict,
		"held_bytes", own, "bytes", size, "answers_bytes", levels.Answers, "bodies_bytes", levels.Bodies, "bound_bytes", levels.Bound,
		"answers", levels.Holders, "count", r.stoppedCount)
	r.stoppedLogged, r.stoppedCount = now, 0
}
