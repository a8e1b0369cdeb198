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

// targets simulates all targets of the fleet and records the runs.
type targets struct {
	mu        sync.Mutex
	runs      []run
	downUntil time.Time
	// itemTime is how long a run takes; alwaysFail lists items that always fail.
	itemTime   time.Duration
	alwaysFail map[string]bool
	// workTime is the time that targets spent on items.
	workTime time.Duration
}

func (t *targets) addWork(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workTime += d
}

func newTargets() *targets {
	return &targets{itemTime: time.Second, alwaysFail: map[string]bool{}}
}

func (t *targets) failFor(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downUntil = time.Now().Add(d)
}

// begin records a run. It returns false if the connection is refused.
func (t *targets) begin(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.downUntil) {
		return false
	}
	t.runs = append(t.runs, run{name: name, began: time.Now()})
	return true
}

func (t *targets) failing(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alwaysFail[name] || time.Now().Before(t.downUntil)
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

// total returns the number of all runs.
func (t *targets) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// last returns the name of the run that began last.
func (t *targets) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[len(t.runs)-1].name
}

// totalWork returns the time that targets spent on items.
func (t *targets) totalWork() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workTime
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

// slots hands out the slots of one instance and can revoke them.
type slots struct {
	semaphore chan struct{}
	mu        sync.Mutex
	taken     map[*slot]bool
}

// Capacity implements coordination.BatchSlots.
func (s *slots) Capacity(protocol.ServiceName) int { return cap(s.semaphore) }

func newSlots(count int) *slots {
	return &slots{semaphore: make(chan struct{}, count), taken: map[*slot]bool{}}
}

// Acquire implements coordination.BatchSlots.
func (s *slots) Acquire(ctx context.Context, _ protocol.ServiceName) (coordination.BatchSlot, error) {
	select {
	case s.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	taken := &slot{from: s, revoked: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken[taken] = true
	return taken, nil
}

// revokeAll revokes every slot, as a burst of online traffic does.
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
		<-s.from.semaphore
	})
}

// runner runs items of one instance at the targets.
type runner struct{ node *node }

// Run implements batch.Runner.
func (r *runner) Run(ctx context.Context, _ coordination.BatchSlot, item batch.Item) batch.ItemOutcome {
	retry := batch.ItemOutcome{Kind: batch.Retry, Result: bulk.Result{Code: protocol.CodeTargetFailed, Message: "no answer"}}
	r.node.link.awaitRunning()
	refused := false
	if !r.node.inject(func() { refused = !r.node.fleet.targets.begin(item.CustomID) }, atDispatch) {
		return retry
	}
	if refused {
		return batch.ItemOutcome{Kind: batch.NotStarted}
	}
	if resume, stopped := r.generate(ctx, item.Resume); stopped {
		return batch.ItemOutcome{Kind: batch.Interrupted, Resume: resume}
	}
	r.node.link.awaitRunning()
	if !r.node.inject(func() {}, atAnswer) || r.node.fleet.targets.failing(item.CustomID) {
		return retry
	}
	body, _ := json.Marshal(map[string]string{"echo": item.CustomID})
	return batch.ItemOutcome{Kind: batch.Done, Result: bulk.Result{Status: 200, RequestID: "r-" + item.CustomID, Body: body}}
}

// generate waits for the run time of an item, less the time for the tokens it
// already has. A token takes 1 ms.
func (r *runner) generate(ctx context.Context, before *batch.Resume) (kept *batch.Resume, stopped bool) {
	had := 0
	if before != nil {
		had = before.Tokens
	}
	began := time.Now()
	select {
	case <-time.After(r.node.fleet.targets.itemTime - time.Duration(had)*time.Millisecond):
	case <-ctx.Done():
		stopped = true
	}
	ran := time.Since(began)
	r.node.fleet.targets.addWork(ran)
	return &batch.Resume{Tokens: had + int(ran.Milliseconds())}, stopped
}
