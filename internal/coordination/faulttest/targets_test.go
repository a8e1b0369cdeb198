package faulttest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// run is one run of an item or call at a target.
type run struct {
	name  string
	began time.Time
}

// targets stand for all targets of the fleet: they note what ran.
type targets struct {
	mu   sync.Mutex
	runs []run
	dead time.Time
	// itemTime is how long a run takes; never lists items that always fail.
	itemTime time.Duration
	never    map[string]bool
	// worked is the time that targets spent on items.
	worked time.Duration
}

func (t *targets) work(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.worked += d
}

func newTargets() *targets {
	return &targets{itemTime: time.Second, never: map[string]bool{}}
}

func (t *targets) die(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead = time.Now().Add(d)
}

// begin notes a run, and is false if the connection is refused.
func (t *targets) begin(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.dead) {
		return false
	}
	t.runs = append(t.runs, run{name: name, began: time.Now()})
	return true
}

func (t *targets) failing(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.never[name] || time.Now().Before(t.dead)
}

func (t *targets) count(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.runs {
		if r.name == name {
			count++
		}
	}
	return count
}

// total counts all runs.
func (t *targets) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// last names the run that began last.
func (t *targets) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[len(t.runs)-1].name
}

// spent is the time that targets worked on items.
func (t *targets) spent() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worked
}

// beganAfter counts the runs that began after a time.
func (t *targets) beganAfter(limit time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.runs {
		if r.began.After(limit) {
			count++
		}
	}
	return count
}

// slots hands out places of one instance and takes them back on demand.
type slots struct {
	places chan struct{}
	mu     sync.Mutex
	taken  map[*slot]bool
}

// Capacity implements coordination.BatchSlots.
func (s *slots) Capacity(protocol.ServiceName) int { return cap(s.places) }

func newSlots(count int) *slots {
	return &slots{places: make(chan struct{}, count), taken: map[*slot]bool{}}
}

// Acquire implements coordination.BatchSlots.
func (s *slots) Acquire(ctx context.Context, _ protocol.ServiceName) (coordination.BatchSlot, error) {
	select {
	case s.places <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	taken := &slot{from: s, revoked: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken[taken] = true
	return taken, nil
}

// revokeAll takes every place back, as a burst of online traffic does.
func (s *slots) revokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for taken := range s.taken {
		close(taken.revoked)
		delete(s.taken, taken)
	}
}

type slot struct {
	from    *slots
	once    sync.Once
	revoked chan struct{}
}

// Pick implements coordination.BatchSlot.
func (s *slot) Pick() coordination.Pick { return coordination.Pick{Target: "t1"} }

// Revoked implements coordination.BatchSlot.
func (s *slot) Revoked() <-chan struct{} { return s.revoked }

// Release implements coordination.BatchSlot.
func (s *slot) Release(coordination.CallResult) {
	s.once.Do(func() {
		s.from.mu.Lock()
		delete(s.from.taken, s)
		s.from.mu.Unlock()
		<-s.from.places
	})
}

// runner runs items of one instance at the targets.
type runner struct{ node *node }

// Run implements batch.Runner.
func (r *runner) Run(ctx context.Context, _ coordination.BatchSlot, item batch.Item) batch.ItemOutcome {
	retry := batch.ItemOutcome{Kind: batch.Retry, Result: bulk.Result{Code: protocol.CodeTargetFailed, Message: "no answer"}}
	r.node.link.pass()
	refused := false
	if !r.node.strike(func() { refused = !r.node.world.targets.begin(item.CustomID) }, atDispatch) {
		return retry
	}
	if refused {
		return batch.ItemOutcome{Kind: batch.NotStarted}
	}
	if resume, stopped := r.generate(ctx, item.Resume); stopped {
		return batch.ItemOutcome{Kind: batch.Interrupted, Resume: resume}
	}
	r.node.link.pass()
	if !r.node.strike(func() {}, atAnswer) || r.node.world.targets.failing(item.CustomID) {
		return retry
	}
	body, _ := json.Marshal(map[string]string{"echo": item.CustomID})
	return batch.ItemOutcome{Kind: batch.Done, Result: bulk.Result{Status: 200, RequestID: "r-" + item.CustomID, Body: body}}
}

// generate lets an item's time pass, less what it had before. A token takes a
// millisecond.
func (r *runner) generate(ctx context.Context, before *batch.Resume) (kept *batch.Resume, stopped bool) {
	had := 0
	if before != nil {
		had = before.Tokens
	}
	began := time.Now()
	select {
	case <-time.After(r.node.world.targets.itemTime - time.Duration(had)*time.Millisecond):
	case <-ctx.Done():
		stopped = true
	}
	ran := time.Since(began)
	r.node.world.targets.work(ran)
	return &batch.Resume{Tokens: had + int(ran.Milliseconds())}, stopped
}
