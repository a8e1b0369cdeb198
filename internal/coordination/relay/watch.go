package relay

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/placement"
)

const (
	// firstShare is the part of the objective after which a target that has not
	// begun to answer is under suspicion, and a repeatable request goes to
	// another one. A free target answers in a tenth of it; the other one needs
	// as long, and still answers in time.
	firstShare = 0.5
	// gapShare is the same between two events, as a part of the longest pause.
	gapShare = 0.6
	// queueLimit is added where the request was sent to a target whose slots
	// were taken.
	queueLimit = 300 * time.Millisecond
	// firstLeast and gapLeast bound the limits from below, so that a short
	// objective does not make every target suspect.
	firstLeast = 100 * time.Millisecond
	gapLeast   = 250 * time.Millisecond
)

// watch looks after one exchange: it puts a target under suspicion that does not
// go on, and ends the exchange if the request can go on elsewhere.
type watch struct {
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
	choice placement.Choice
	// mayMove says that the request could go on at another target.
	mayMove bool

	mu      sync.Mutex
	timer   *time.Timer
	clear   func()
	queued  bool
	silent  bool
	stopped bool
}

func (c *call) watch(ctx context.Context, choice placement.Choice) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		ctx: ctx, cancel: cancel, call: c, choice: choice,
		mayMove: c.Route.Repeatable() && c.outcome.Runs+1 < c.Route.MaxAttempts,
	}
	limit := c.gapLimit()
	if !c.begun {
		limit = max(firstLeast, time.Duration(firstShare*float64(c.Route.Objective)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.late)
	return w
}

func (c *call) gapLimit() time.Duration {
	return max(gapLeast, time.Duration(gapShare*float64(c.Route.Gap)))
}

// late is called when nothing came for too long.
func (w *watch) late() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.clear != nil {
		return
	}
	if w.choice.Busy >= w.choice.Slots && !w.call.begun && !w.queued {
		// It waits in the target's queue, for an item to give way.
		w.queued = true
		w.timer.Reset(queueLimit)
		return
	}
	w.clear = w.call.opts.Placer.Waiting(w.choice)
	if w.mayMove {
		w.silent = true
		w.cancel()
	}
}

// goesOn notes that something came.
func (w *watch) goesOn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clear != nil {
		w.clear()
		w.clear = nil
	}
	w.timer.Reset(w.call.gapLimit())
}

// result is the result of an exchange that ended: silent if it was ended for
// that.
func (w *watch) result(otherwise placement.Result) placement.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent || w.clear != nil {
		return placement.Silent
	}
	return otherwise
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if w.clear != nil {
		w.clear()
	}
	w.cancel()
}
