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
	// linesEach is how many lines a second an event may write with one outcome,
	// for long, and burstEach how many at once. At ten times its share of 3,400
	// requests a second over 340 instances an instance writes 100 lines of
	// answered requests a second; beyond twice that a line costs more than it tells.
	linesEach = 200
	burstEach = 400
	// linesAll is the same over all events, so that many kinds of trouble at once
	// do not add up: 600 lines of 300 bytes are 180 KB a second.
	linesAll = 600
	burstAll = 1200
	// mostKinds bounds the kinds that are told apart. Events and outcomes are
	// words of the code, some hundred in all.
	mostKinds = 1000
	// tellEvery is how often it is told how many lines were left out.
	tellEvery = time.Second
)

var overBudget = metrics.NewCounter("log_lines_over_budget_total")

// Budget bounds the lines of each event and outcome. What it leaves out is counted
// and told.
//
// What goes wrong without it: a target fails every request at once, or callers
// come by thousands a second. Each writes a line, and the instance spends its
// processor on telling that it has none left. Bounding each kind for itself keeps
// the flood of one from hiding the few lines of another.
type Budget struct {
	next log.Logger
	now  func() time.Time

	mu    sync.Mutex
	all   *rate.Limiter
	kinds map[string]*kind
	// toldAt is when it was told last what was left out.
	toldAt time.Time
}

// kind is the lines of one event with one outcome.
type kind struct {
	limiter *rate.Limiter
	event   string
	leftOut int
}

// NewBudget returns a budget in front of a logger.
func NewBudget(next log.Logger, now func() time.Time) *Budget {
	return &Budget{next: next, now: now, all: rate.NewLimiter(linesAll, burstAll), kinds: map[string]*kind{}}
}

// Log implements log.Logger.
func (b *Budget) Log(keyvals ...any) error {
	event, outcome := field(keyvals, "event"), field(keyvals, "outcome")
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell(now)
	k := b.kind(event, outcome)
	if !k.limiter.AllowN(now, 1) || !b.all.AllowN(now, 1) {
		k.leftOut++
		overBudget.Inc()
		return nil
	}
	return b.next.Log(keyvals...)
}

func (b *Budget) kind(event, outcome string) *kind {
	name := event + "/" + outcome
	k := b.kinds[name]
	if k == nil {
		if len(b.kinds) >= mostKinds {
			name = ""
		}
		k = &kind{limiter: rate.NewLimiter(linesEach, burstEach), event: name}
		b.kinds[name] = k
	}
	return k
}

// tell writes how many lines were left out. It needs the lock.
func (b *Budget) tell(now time.Time) {
	if now.Sub(b.toldAt) < tellEvery {
		return
	}
	b.toldAt = now
	for _, k := range b.kinds {
		if k.leftOut == 0 {
			continue
		}
		if err := b.next.Log("at", now.UTC().Format(time.RFC3339Nano), "level", level.WarnValue(),
			"event", "lines_left_out", "of", k.event, "lines", k.leftOut); err != nil {
			// The next look tells it.
			return
		}
		k.leftOut = 0
	}
}

// field gives the text of a field, empty if a line lacks it.
func field(keyvals []any, name string) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == name {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return ""
}
