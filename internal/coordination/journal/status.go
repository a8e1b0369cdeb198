package journal

import (
	"sync"
	"time"

	"merlintiller/internal/coordination/member"
)

// status says whether the state is loaded and what keeps the journal from
// going on.
type status struct {
	mu      sync.Mutex
	loaded  chan struct{}
	trouble string
}

func (s *status) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trouble
}

// set notes the trouble and reports whether it is another than before.
func (s *status) set(trouble string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.trouble != trouble
	s.trouble = trouble
	return changed
}

// progress is what the reader knows of its place in the stream.
type progress struct {
	mu sync.Mutex
	// asked and answered are the times of the latest read that reached the end.
	asked, answered time.Time
	// since is when the present run of such reads began.
	since time.Time
	// tried is when the latest read began that reached the end or failed.
	tried time.Time
}

// finished notes that a read which began at a time reached the end or failed.
func (p *progress) finished(asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = asked
}

func (p *progress) current(now time.Time, longest time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.tried) < longest
}

// atEnd notes a read that reached the end of the stream. After a pause of the
// log, or of this process, the run begins anew.
func (p *progress) atEnd(asked, answered time.Time, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() || answered.Sub(p.answered) > longest {
		p.since = answered
	}
	p.asked = asked
	p.answered = answered
}

// behind notes a read that did not reach the end.
func (p *progress) behind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = time.Time{}
}

func (p *progress) up(now time.Time, longest time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.answered.IsZero() && now.Sub(p.answered) < longest
}

// evidence returns what the observer may rely on; false while behind.
func (p *progress) evidence() (member.Evidence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return member.Evidence{Asked: p.asked, CaughtUpSince: p.since}, !p.since.IsZero()
}
