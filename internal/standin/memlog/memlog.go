// Package memlog is the stand-in for the platform's append-only log: streams
// with offsets, limited retention, a limit on appends, and fault switches. The
// stand-in program serves it over HTTP; tests use it directly as external.Log.
package memlog

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Options set the limits of the log.
type Options struct {
	// AppendsPerSecond limits appends over all streams; 0 means no limit.
	AppendsPerSecond float64
	// Retention is how long entries are kept; 0 means for ever.
	Retention time.Duration
	// MaxEntries keeps at most so many entries a stream; 0 means no limit.
	MaxEntries int
}

// Fault says what goes wrong with one operation.
type Fault int

// The faults a Log can show.
const (
	// None: the operation goes well.
	None Fault = iota
	// Down: the operation has no effect and fails with ErrUnavailable.
	Down
	// LoseAnswer: an append takes effect and fails with ErrUnavailable.
	LoseAnswer
	// Throttle: the operation has no effect and fails with ErrThrottled.
	Throttle
	// Hang: the operation blocks until its context ends, without effect.
	Hang
)

// FaultFunc decides the fault of an operation ("append" or "read") on a
// stream. It may block to delay the operation.
type FaultFunc func(operation, stream string, payload []byte) Fault

type stream struct {
	entries []external.Entry
	times   []time.Time
	oldest  protocol.Offset
	grown   chan struct{}
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

// SetFault installs the fault switch; nil removes it.
func (l *Log) SetFault(fault FaultFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// Appends counts the appends that took effect.
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
	l.drop(s, int(before-s.oldest))
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) drop(s *stream, count int) {
	count = min(max(count, 0), len(s.entries))
	s.entries = s.entries[count:]
	s.times = s.times[count:]
	s.oldest += protocol.Offset(count)
}

func (l *Log) retain(s *stream, now time.Time) {
	if l.opts.MaxEntries > 0 {
		l.drop(s, len(s.entries)-l.opts.MaxEntries)
	}
	if l.opts.Retention <= 0 {
		return
	}
	old := 0
	for old < len(s.times) && now.Sub(s.times[old]) > l.opts.Retention {
		old++
	}
	l.drop(s, old)
}

// decide asks the fault switch without holding the lock, so that it may block.
func (l *Log) decide(operation, stream string, payload []byte) Fault {
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
	fault := l.decide("append", name, payload)
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
	l.retain(s, now)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// Read implements external.Log.
func (l *Log) Read(ctx context.Context, name string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	switch l.decide("read", name, nil) {
	case Down, Throttle, LoseAnswer:
		return external.Page{}, external.ErrUnavailable
	case Hang:
		<-ctx.Done()
		return external.Page{}, external.ErrUnavailable
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, grown, err := l.page(name, from, limit)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
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
	l.retain(s, time.Now())
	page := external.Page{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return page, s.grown, external.ErrTrimmed
	}
	if from >= s.next() {
		return page, s.grown, nil
	}
	start := int(from - s.oldest)
	end := min(len(s.entries), start+limit)
	page.Entries = append(page.Entries, s.entries[start:end]...)
	return page, s.grown, nil
}
