package answerbuffer

import "sync"

// Budget counts the bytes that a process holds for callers. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	levels Levels
	// peak holds the highest numbers so far, each by itself.
	peak Levels
	// waiters are closed when the levels are relieved.
	waiters map[chan struct{}]struct{}
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bound int64) *Budget {
	return &Budget{levels: Levels{Bound: bound}, peak: Levels{Bound: bound}, waiters: map[chan struct{}]struct{}{}}
}

// Levels returns the current numbers.
func (b *Budget) Levels() Levels {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.levels
}

// Peak returns the highest numbers of bytes held so far, each by itself.
func (b *Budget) Peak() Levels {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// TakeBody counts bytes of a request body. It returns false, and counts nothing, if they don't fit.
func (b *Budget) TakeBody(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.levels.Body(size) {
		return false
	}
	b.levels.Bodies += size
	b.peak.Bodies = max(b.peak.Bodies, b.levels.Bodies)
	return true
}

// ReturnBody ends the count of bytes of a request body.
func (b *Budget) ReturnBody(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.levels.Bodies -= size
	b.wake()
}

// TakeResponse counts bytes of a response that is held until it is written, and of which held bytes
// are counted already. It returns false, and counts nothing, if they don't fit into what answers
// may use.
func (b *Budget) TakeResponse(held, size int64) bool { return b.takeAnswer(held, size) == Fits }

// ReturnResponse ends the count of bytes of a response.
func (b *Budget) ReturnResponse(size int64) { b.returnAnswer(size, 0) }

// takeAnswer counts bytes of an answer that holds own bytes already. It counts nothing unless they
// fit.
func (b *Budget) takeAnswer(own, size int64) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if verdict := b.levels.Answer(own, size); verdict != Fits {
		return verdict
	}
	if own == 0 {
		b.levels.Holders++
	}
	b.levels.Answers += size
	b.peak.Answers = max(b.peak.Answers, b.levels.Answers)
	return Fits
}

// returnAnswer ends the count of bytes of an answer that still holds left bytes.
func (b *Budget) returnAnswer(size, left int64) {
	if size == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if left == 0 {
		b.levels.Holders--
	}
	b.levels.Answers -= size
	b.wake()
}

// Relieved returns a channel that is closed when bytes are returned and every answer may hold more
// again. stop ends the wait.
func (b *Budget) Relieved() (relieved <-chan struct{}, stop func()) {
	waiter := make(chan struct{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters[waiter] = struct{}{}
	return waiter, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiters, waiter)
	}
}

// wake ends the waits if the levels are relieved. The caller holds mu.
func (b *Budget) wake() {
	if !b.levels.relieved() {
		return
	}
	for waiter := range b.waiters {
		close(waiter)
		delete(b.waiters, waiter)
	}
}
