package logline

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

const (
	// kindLinesPerSecond is the sustained rate of log lines of one event with one
	// outcome, and kindBurst is the largest burst. With 3,400 requests a second over 340
	// instances, an instance at ten times its share writes 100 lines a second for answered
	// requests. Beyond twice that rate a further line is not worth its cost.
	kindLinesPerSecond = 200
	kindBurst          = 400
	// totalLinesPerSecond and totalBurst are the limits for all kinds together, because
	// the kinds of many simultaneous faults would add up. 600 lines of 300 bytes are
	// 180 KB a second.
	totalLinesPerSecond = 600
	totalBurst          = 1200
	// maxKinds bounds the number of kinds with limits of their own. Events and outcomes
	// are constants in the code, about a hundred in total.
	maxKinds = 1000
	// reportInterval is the period of the log lines that count omitted lines.
	reportInterval = time.Second
)

var linesOverBudget = metrics.NewCounter("log_lines_over_budget_total")

// Budget limits the rate of log lines for each kind, which is an event with an outcome,
// and for all kinds together. It counts the omitted lines and logs the counts.
//
// Without the limits, a target that fails all requests, or callers that send thousands of
// requests a second, would cause one line per request, and an overloaded instance would
// spend its processor time on logging. Separate limits prevent many lines of one kind from
// displacing the few lines of another.
type Budget struct {
	next log.Logger
	now  func() time.Time

	mu    sync.Mutex
	total *rate.Limiter
	kinds map[string]*kind
	// reportedAt is the time of the last report of omitted lines.
	reportedAt time.Time
}

// kind holds the limit and the omitted lines of one event with one outcome.
type kind struct {
	limiter *rate.Limiter
	// event is "event/outcome", empty for the kinds beyond maxKinds.
	event string
	// omitted is the number of lines omitted since the last report.
	omitted int
}

// NewBudget returns a budget that passes lines on to a logger.
func NewBudget(next log.Logger, now func() time.Time) *Budget {
	return &Budget{next: next, now: now, total: rate.NewLimiter(totalLinesPerSecond, totalBurst), kinds: map[string]*kind{}}
}

// Log implements log.Logger. A line beyond a limit is omitted without an error.
func (b *Budget) Log(keyvals ...any) error {
	event, outcome := field(keyvals, "event"), field(keyvals, "outcome")
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportOmitted(now)
	k := b.kindOf(event, outcome)
	if !k.limiter.AllowN(now, 1) || !b.total.AllowN(now, 1) {
		k.omitted++
		linesOverBudget.Inc()
		return nil
	}
	return b.next.Log(keyvals...)
}

// kindOf returns the kind of an event with an outcome, and creates it if necessary.
func (b *Budget) kindOf(event, outcome string) *kind {
	name := event + "/" + outcome
	k := b.kinds[name]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			name = ""
		}
		k = &kind{limiter: rate.NewLimiter(kindLinesPerSecond, kindBurst), event: name}
		b.kinds[name] = k
	}
	return k
}

// reportOmitted logs the number of omitted lines of each kind, at most once per
// reportInterval. The caller holds the lock.
func (b *Budget) reportOmitted(now time.Time) {
	if now.Sub(b.reportedAt) < reportInterval {
		return
	}
	b.reportedAt = now
	for _, k := range b.kinds {
		if k.omitted == 0 {
			continue
		}
		if err := b.next.Log("at", now.UTC().Format(time.RFC3339Nano), "level", level.WarnValue(),
			"event", "lines_left_out", "of", k.event, "lines", k.omitted); err != nil {
			// The counts stay for the next report.
			return
		}
		k.omitted = 0
	}
}

// field returns the value of a field as text, empty if the line does not contain it.
func field(keyvals []any, name string) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == name {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return ""
}
