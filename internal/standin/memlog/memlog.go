// Package memlog is an in-memory fake of the platform's append-only log:
// streams with offsets, limited retention, a rate limit on appends, and fault
// injection. cmd/standin serves it over HTTP. Tests use it directly as
// external.Log.
package memlog

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Options are the limits of a Log.
type Options struct {
	// AppendsPerSecond limits the appends over all streams. 0 means no limit.
	AppendsPerSecond float64
	// Retention is how long entries are kept. 0 means without limit.
	Retention time.Duration
	// MaxEntries is the number of entries kept in each stream. 0 means no limit.
	MaxEntries int
}

// Fault is a fault injected into one operation.
type Fault int

// The faults that a Log can inject.
const (
	// None injects no fault.
	None Fault = iota
	// Down fails the operation with ErrUnavailable, without effect.
	Down
	// LoseAnswer lets an append take effect and fails it with ErrUnavailable.
	// A read fails as with Down.
	LoseAnswer
	// Throttle fails an append with ErrThrottled, without effect. A read
	// fails as with Down.
	Throttle
	// Hang blocks the operation until its context ends, without effect.
	Hang
)

// FaultFunc chooses the fault for an operation ("append" or "read") on a stream. It
// may block, which delays the operation.
type FaultFunc func(operation, stream string, payload []byte) Fault

type stream struct {
	entries  []external.Entry
	times    []time.Time
	oldest   protocol.Offset
	appended chan struct{}
}

func (s *stream) next() protocol.Offset {
	return s.oldest + protocol.Offset(len(s.entries))
}

// Log is an in-memory external.Log.
type Log struct {
	mu      sync.Mutex
	opts    Options
	limiter *rate.Limiter
	streams map[string]*stream
	fault   FaultFunc
	appends int64
}

// New returns an empty log.
func New(opts Options) *Log {
	limit := rate.Inf
	if opts.AppendsPerSecond > 0 {
		limit = rate.Limit(opts.AppendsPerSecond)
	}
	burst := max(1, int(opts.AppendsPerSecond))
	return &Log{opts: opts, limiter: rate.NewLimiter(limit, burst), streams: map[string]*stream{}}
}

// SetFault sets the function that chooses the faults. nil removes it.
func (l *Log) SetFault(fault FaultFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim drops the entries of a stream before an offset, as retention does.
func (l *Log) Trim(name string, before protocol.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropOldest(s, int(before-s.oldest))
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) dropOldest(s *stream, count int) {
	count = min(max(count, 0), len(s.entries))
	s.entries = s.entries[count:]
	s.times = s.times[count:]
	s.oldest += protocol.Offset(count)
}

func (l *Log) applyRetention(s *stream, now time.Time) {
	if l.opts.MaxEntries > 0 {
		l.dropOldest(s, len(s.entries)-l.opts.MaxEntries)
	}
	if l.opts.Retention <= 0 {
		return
	}
	old := 0
	for old < len(s.times) && now.Sub(s.times[old]) > l.opts.Retention {
		old++
	}
	l.dropOldest(s, old)
}

// faultFor calls the FaultFunc without holding the lock, because it may block.
func (l *Log) faultFor(operation, stream string, payload []byte) Fault {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault == nil {
		return None
	}
	return fault(operation, stream, payload)
}

// Append implements external.Log.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (protocol.Offset, error) {
	fault := l.faultFor("append", name, payload)
	switch fault {
	case Down:
		return protocol.NoOffset, external.ErrUnavailable
	case Throttle:
		return protocol.NoOffset, external.ErrThrottled
	case Hang:
		<-ctx.Done()
		return protocol.NoOffset, external.ErrUnavailable
	}
	if len(payload) > protocol.MaxEntryBytes {
		return protocol.NoOffset, external.ErrEntryTooLarge
	}
	if err := ctx.Err(); err != nil {
		return protocol.NoOffset, external.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.limiter.AllowN(now, 1) {
		return protocol.NoOffset, external.ErrThrottled
	}
	offset := l.add(name, payload, now)
	if fault == LoseAnswer {
		return protocol.NoOffset, external.ErrUnavailable
	}
	return offset, nil
}

func (l *Log) add(name string, payload []byte, now time.Time) protocol.Offset {
	s := l.stream(name)
	offset := s.next()
	s.entries = append(s.entries, external.Entry{Offset: offset, Payload: append([]byte(nil), payload...)})
	s.times = append(s.times, now)
	l.appends++
	l.applyRetention(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// Read implements external.Log.
func (l *Log) Read(ctx context.Context, name string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	switch l.faultFor("read", name, nil) {
	case Down, Throttle, LoseAnswer:
		return external.Page{}, external.ErrUnavailable
	case Hang:
		<-ctx.Done()
		return external.Page{}, external.ErrUnavailable
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, appended, err := l.page(name, from, limit)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, external.ErrUnavailable
		}
	}
}

func (l *Log) page(name string, from protocol.Offset, limit int) (external.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.applyRetention(s, time.Now())
	page := external.Page{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return page, s.appended, external.ErrTrimmed
	}
	if from >= s.next() {
		return page, s.appended, nil
	}
	start := int(from - s.oldest)
	end := min(len(s.entries), start+limit)
	page.Entries = append(page.Entries, s.entries[start:end]...)
	return page, s.appended, nil
}
