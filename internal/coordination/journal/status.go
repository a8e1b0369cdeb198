package journal

import (
	"sync"
	"time"

	"merlintiller/internal/coordination/member"
)

// status holds whether the state is loaded and which problem stops the journal.
type status struct {
	mu      sync.Mutex
	loaded  chan struct{}
	problem string
}

func (s *status) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.problem
}

// set stores the problem and reports whether it differs from the previous one.
func (s *status) set(problem string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.problem != problem
	s.problem = problem
	return changed
}

// progress records how far the reader has read the control stream.
type progress struct {
	mu sync.Mutex
	// requestedAt and answeredAt are the times of the latest read that reached
	// the end of the stream.
	requestedAt, answeredAt time.Time
	// caughtUpSince is the start of the current series of reads that reached
	// the end, or zero while the reader is behind.
	caughtUpSince time.Time
	// lastAttemptAt is the start time of the latest read that reached the end
	// or failed.
	lastAttemptAt time.Time
}

// recordAttempt records that a read which started at requestedAt reached the
// end or failed.
func (p *progress) recordAttempt(requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAttemptAt = requestedAt
}

func (p *progress) attemptedWithin(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastAttemptAt) < limit
}

// recordEndReached records a read that reached the end of the stream. If the
// previous such read was longer than maxGap ago, because the log or this
// process was paused, a new series starts.
func (p *progress) recordEndReached(requestedAt, answeredAt time.Time, maxGap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.caughtUpSince.IsZero() || answeredAt.Sub(p.answeredAt) > maxGap {
		p.caughtUpSince = answeredAt
	}
	p.requestedAt = requestedAt
	p.answeredAt = answeredAt
}

// recordBehind records that a read did not reach the end.
func (p *progress) recordBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caughtUpSince = time.Time{}
}

func (p *progress) endReachedWithin(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.answeredAt.IsZero() && now.Sub(p.answeredAt) < limit
}

// evidence returns the read times that the observer may rely on. It reports
// false while the reader is behind.
func (p *progress) evidence() (member.StreamStatus, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return member.StreamStatus{ReadStartedAt: p.requestedAt, CaughtUpSince: p.caughtUpSince}, !p.caughtUpSince.IsZero()
}
