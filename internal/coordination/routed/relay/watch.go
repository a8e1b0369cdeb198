package relay

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

const (
	// firstShare is the part of the objective after which a target that has not
	// begun to answer is under suspicion, and a repeatable request looks for
	// another one. A free target answers in a tenth of it; the other one needs
	// as long, and still answers in time.
	firstShare = 0.5
	// gapShare is the same between two events, as a part of the longest pause.
	gapShare = 0.6
	// firstLeast and gapLeast bound the limits from below, so that a short
	// objective does not make every target suspect.
	firstLeast = 100 * time.Millisecond
	gapLeast   = 250 * time.Millisecond
	// againEvery is how often a request that waits too long looks again.
	againEvery = 150 * time.Millisecond
)

// watch looks after one exchange: it puts a target under suspicion that does not
// go on, and ends the exchange if the request can go on elsewhere at once. A
// request that left without having another place would wait for one, behind
// others, while its target may only be busy.
type watch struct {
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
	choice placement.Choice
	// want is what another target would be chosen for, if that is allowed.
	want    placement.Want
	mayMove bool

	mu      sync.Mutex
	timer   *time.Timer
	clear   func()
	next    *placement.Choice
	stopped bool
}

func (c *call) watch(ctx context.Context, choice placement.Choice) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		ctx: ctx, cancel: cancel, call: c, choice: choice, want: c.want(),
		mayMove: c.Route.Repeatable() && c.outcome.PossibleRuns+1 < c.Route.MaxAttempts,
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
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if w.clear == nil {
		w.clear = w.call.opts.Placer.Waiting(w.choice)
	}
	w.mu.Unlock()
	if w.mayMove {
		w.move()
	}
}

// move looks for another target and ends the exchange if there is one.
func (w *watch) move() {
	choice, found := w.call.opts.Placer.TryPlace(w.ctx, w.want)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !found:
		w.timer.Reset(againEvery)
	case w.stopped:
		go w.call.opts.Placer.Done(choice, placement.Left)
	default:
		w.next = &choice
		w.cancel()
	}
}

// goesOn notes that something came.
func (w *watch) goesOn() {
	w.call.opts.Placer.Heard(w.choice.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clear != nil {
		w.clear()
		w.clear = nil
	}
	w.timer.Reset(w.call.gapLimit())
}

// result is the result of an exchange that ended: silent if the target is under
// suspicion.
func (w *watch) result(otherwise placement.Result) placement.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clear != nil {
		return placement.Silent
	}
	if w.next != nil {
		return placement.Left
	}
	return otherwise
}

// stop ends the watch and gives the target for which the exchange was given up.
func (w *watch) stop() *placement.Choice {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if w.clear != nil {
		w.clear()
	}
	w.cancel()
	return w.next
}
