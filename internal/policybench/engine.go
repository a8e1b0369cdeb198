package policybench

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// The model of an engine that batches continuously: streams share it evenly,
// and up to slotsPerTarget of them run at full speed. Prefills share one
// processor and know no priorities.
const (
	slotsPerTarget = 16
	engineStep     = 5 * time.Millisecond
	// tokenTime is the time between tokens of a stream at full speed.
	tokenTime = 25 * time.Millisecond
	// onlinePrefill and batchPrefill are the times to read a prompt alone.
	onlinePrefill = 40 * time.Millisecond
	batchPrefill  = 60 * time.Millisecond
	// resumePrefill is the time to read back one token of partial output.
	resumePrefill = 100 * time.Microsecond
	onlineTokens  = 100
	batchTokens   = 200
)

// stream is one request at an engine.
type stream struct {
	online  bool
	arrived time.Time
	prefill time.Duration
	// tokens is the length of the output, made what there is of it.
	tokens, made float64
	firstAt      time.Time
	// ended is called when the stream is whole.
	ended func(*stream)
}

// engine is one target.
type engine struct {
	id      protocol.TargetID
	domain  protocol.Domain
	streams []*stream
	// second is the number of streams a second ago and before, for reports.
	history []int
}

// step runs the engine for one step.
func (e *engine) step(now time.Time) {
	prefilling := 0
	for _, s := range e.streams {
		if s.prefill > 0 {
			prefilling++
		}
	}
	slow := max(1, float64(len(e.streams))/slotsPerTarget)
	made := float64(engineStep) / float64(tokenTime) / slow
	var done []*stream
	for _, s := range e.streams {
		if s.prefill > 0 {
			s.prefill -= engineStep / time.Duration(prefilling)
			if s.prefill <= 0 {
				s.firstAt = now
			}
			continue
		}
		if s.made += made; s.made >= s.tokens {
			done = append(done, s)
		}
	}
	for _, s := range done {
		e.remove(s)
		s.ended(s)
	}
}

func (e *engine) remove(s *stream) {
	if i := slices.Index(e.streams, s); i >= 0 {
		e.streams = slices.Delete(e.streams, i, i+1)
	}
}

func (e *engine) online() int {
	count := 0
	for _, s := range e.streams {
		if s.online {
			count++
		}
	}
	return count
}
