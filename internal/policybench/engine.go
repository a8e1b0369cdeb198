package policybench

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// Parameters of the model of an engine with continuous batching. Streams share the
// engine evenly, and up to slotsPerTarget streams run at full speed. All prefills
// share one processor, without priorities.
const (
	slotsPerTarget = 16
	engineStep     = 5 * time.Millisecond
	// tokenTime is the time between two tokens of a stream at full speed.
	tokenTime = 25 * time.Millisecond
	// onlinePrefill and batchPrefill are the prefill times of a prompt when no
	// other prefill runs.
	onlinePrefill = 40 * time.Millisecond
	batchPrefill  = 60 * time.Millisecond
	// resumePrefill is the additional prefill time for each token of partial
	// output when an item is resumed.
	resumePrefill = 100 * time.Microsecond
	onlineTokens  = 100
	batchTokens   = 200
)

// stream is one request running on an engine.
type stream struct {
	online  bool
	arrived time.Time
	prefill time.Duration
	// tokens is the length of the output, generated the part produced so far,
	// both in tokens.
	tokens, generated float64
	firstAt           time.Time
	// onEnd is called when all tokens have been generated.
	onEnd func(*stream)
}

// engine is the model of one target.
type engine struct {
	id      protocol.TargetID
	domain  protocol.Domain
	streams []*stream
	// streamHistory has the number of streams at each report interval, oldest
	// first. Load reports use it to be reportDelay late.
	streamHistory []int
}

// step advances the engine by engineStep.
func (e *engine) step(now time.Time) {
	prefilling := 0
	for _, s := range e.streams {
		if s.prefill > 0 {
			prefilling++
		}
	}
	slowdown := max(1, float64(len(e.streams))/slotsPerTarget)
	generated := float64(engineStep) / float64(tokenTime) / slowdown
	var done []*stream
	for _, s := range e.streams {
		if s.prefill > 0 {
			s.prefill -= engineStep / time.Duration(prefilling)
			if s.prefill <= 0 {
				s.firstAt = now
			}
			continue
		}
		if s.generated += generated; s.generated >= s.tokens {
			done = append(done, s)
		}
	}
	for _, s := range done {
		e.remove(s)
		s.onEnd(s)
	}
}

func (e *engine) remove(s *stream) {
	if i := slices.Index(e.streams, s); i >= 0 {
		e.streams = slices.Delete(e.streams, i, i+1)
	}
}

func (e *engine) onlineStreams() int {
	count := 0
	for _, s := range e.streams {
		if s.online {
			count++
		}
	}
	return count
}
