package servicetime

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the time in which answers count, in slots of slotTime.
	window   = 10 * time.Second
	slotTime = time.Second
	// MinAnswers is the number of answers in the window from which on an estimate is used. With
	// fewer, the 90th percentile is one of the two slowest answers.
	MinAnswers = 20
	// maxTime is the longest time that is told apart.
	maxTime = time.Minute
	// precision is the number of significant digits of a time in milliseconds.
	precision = 2
	// estimateMaxAge is how long an estimate is reused, since merging the slots of the window
	// visits some ten thousand counters. The window loses a tenth of its answers in a second.
	estimateMaxAge = 200 * time.Millisecond
)

// Work is a kind of requests whose first bytes take a similar time. The first bytes of a stream
// are its first event; other answers are sent when they are complete.
type Work struct {
	Service string
	Stream  bool
}

// Estimate is an estimate of a time.
type Estimate struct {
	// Median and P90 are the median and the 90th percentile of the answers.
	Median, P90 time.Duration
	// P90All is the 90th percentile if requests that were given up without an answer count as
	// longer than all answers. It is maxTime if they are more than a tenth.
	P90All time.Duration
	// Count is the number of answers that it is from, Age the time since the last of them.
	Count int64
	Age   time.Duration
}

// Known reports whether the estimate is from enough answers to be used.
func (e Estimate) Known() bool { return e.Count >= MinAnswers }

// Times keeps the times of the recent answers. It performs no I/O and is not safe for concurrent
// use.
type Times struct {
	firstBytes map[Work]*series
	answers    map[string]*series
}

// NewTimes returns Times without answers.
func NewTimes() *Times {
	return &Times{firstBytes: map[Work]*series{}, answers: map[string]*series{}}
}

// AddFirstBytes records the time from sending a request until its first bytes were sent
// to the caller or taken over for delivery.
func (t *Times) AddFirstBytes(now time.Time, work Work, took time.Duration) {
	seriesOf(t.firstBytes, now, work).add(now, took)
}

// AddGivenUp records that a request was sent to another target because no answer had arrived. How
// long the answer would have taken is not known. If it did not count, or only the time until
// then, a limit that is too short would never be found to be so.
func (t *Times) AddGivenUp(now time.Time, work Work) {
	s := seriesOf(t.firstBytes, now, work)
	s.rotate(now)
	s.givenUp[0]++
}

// AddAnswer records the time from sending a request until its answer was complete.
func (t *Times) AddAnswer(now time.Time, service string, took time.Duration) {
	seriesOf(t.answers, now, service).add(now, took)
}

// FirstBytes returns the time from sending a request until its first bytes are sent to
// the caller or taken over for delivery.
func (t *Times) FirstBytes(now time.Time, work Work) Estimate {
	return t.firstBytes[work].estimate(now)
}

// Answer returns the time from sending a request until its answer is complete.
func (t *Times) Answer(now time.Time, service string) Estimate {
	return t.answers[service].estimate(now)
}

// series holds the times of one kind of answers in the window.
type series struct {
	slots *hdrhistogram.WindowedHistogram
	// givenUp counts the requests that were given up in each slot, the current one first.
	givenUp [window / slotTime]int64
	// slotAt is the beginning of the current slot, lastAt the time of the last answer.
	slotAt, lastAt time.Time
	// latest is the estimate as of latestAt.
	latest   Estimate
	latestAt time.Time
}

func seriesOf[K comparable](all map[K]*series, now time.Time, key K) *series {
	s := all[key]
	if s == nil {
		s = &series{slots: hdrhistogram.NewWindowed(int(window/slotTime), 1, maxTime.Milliseconds(), precision), slotAt: now}
		all[key] = s
	}
	return s
}

// rotate drops the slots that have left the window.
func (s *series) rotate(now time.Time) {
	for range min(int(now.Sub(s.slotAt)/slotTime), int(window/slotTime)) {
		s.slots.Rotate()
		copy(s.givenUp[1:], s.givenUp[:])
		s.givenUp[0] = 0
		s.slotAt = s.slotAt.Add(slotTime)
	}
	if now.Sub(s.slotAt) >= slotTime {
		s.slotAt = now
	}
}

func (s *series) add(now time.Time, took time.Duration) {
	s.rotate(now)
	s.lastAt = now
	// The value is within the range of the histogram, so it is recorded.
	_ = s.slots.Current.RecordValue(min(max(1, took.Milliseconds()), maxTime.Milliseconds()))
}

func (s *series) estimate(now time.Time) Estimate {
	if s == nil {
		return Estimate{}
	}
	if s.latestAt.IsZero() || now.Sub(s.latestAt) >= estimateMaxAge {
		s.rotate(now)
		merged := s.slots.Merge()
		s.latestAt = now
		s.latest = Estimate{Median: valueAt(merged, 0.5), P90: valueAt(merged, 0.9), Count: merged.TotalCount()}
		s.latest.P90All = s.latest.P90
		if givenUp := s.countGivenUp(); givenUp > 0 {
			s.latest.P90All = valueAt(merged, 0.9*float64(s.latest.Count+givenUp)/float64(max(1, s.latest.Count)))
		}
	}
	e := s.latest
	e.Age = now.Sub(s.lastAt)
	return e
}

func (s *series) countGivenUp() (count int64) {
	for _, n := range s.givenUp {
		count += n
	}
	return count
}

// valueAt returns a quantile, maxTime above the largest one.
func valueAt(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	if quantile > 1 {
		return maxTime
	}
	return time.Duration(h.ValueAtQuantile(100*quantile)) * time.Millisecond
}
