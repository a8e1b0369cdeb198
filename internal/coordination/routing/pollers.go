package routing

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

// published counts what the duties met.
var published = expvar.NewMap("routing")

// PollOptions set up the duties that keep a Router informed.
type PollOptions struct {
	Router *Router
	List   external.InstanceList
	Loads  external.LoadReports
	// Fleet gives the configuration in force.
	Fleet  func() *protocol.Fleet
	Logger log.Logger
	// ListInterval is the time between reads of the platform's list. Default 1 s,
	// so that a leaving target gets no new work after about a second.
	ListInterval time.Duration
	// LoadsPerSecond bounds the load reports read a second. Default 20: each
	// of ten targets twice a second, and at hundreds of targets a round of
	// them within the control budget.
	LoadsPerSecond float64
	// LoadInterval is the least time between two reads of one target's load.
	// Default 1 s, the lag of the reports.
	LoadInterval time.Duration
	// Domain is read first and more often than the others.
	Domain protocol.Domain
	// OnListing is told each listing too, for other users of the list. May be nil.
	OnListing func(external.Listing)
}

func (o PollOptions) withDefaults() PollOptions {
	defaults.SetPositive(&o.ListInterval, time.Second)
	defaults.SetPositive(&o.LoadsPerSecond, 20)
	defaults.SetPositive(&o.LoadInterval, time.Second)
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

// Pollers returns the duties that read the platform's list and the targets'
// load reports.
func Pollers(opts PollOptions) []suture.Service {
	opts = opts.withDefaults()
	return []suture.Service{&listPoller{opts: opts}, &loadPoller{opts: opts, read: map[protocol.TargetID]time.Time{}}}
}

// listPoller keeps the router informed of who may exist.
type listPoller struct {
	opts PollOptions
	down bool
}

// String names the duty.
func (l *listPoller) String() string { return "target list" }

// Serve implements suture.Service.
func (l *listPoller) Serve(ctx context.Context) error {
	for {
		l.poll(ctx)
		if !wait.For(ctx, l.opts.ListInterval) {
			return ctx.Err()
		}
	}
}

// poll reads the list once. While it can't be read the last one stays in use.
func (l *listPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ListInterval*2)
	defer cancel()
	listing, err := l.opts.List.List(ctx)
	if err != nil {
		if !l.down {
			_ = l.opts.Logger.Log("event", "target_list_unreadable", "err", err)
		}
		l.down = true
		return
	}
	if l.down {
		_ = l.opts.Logger.Log("event", "target_list_readable")
	}
	l.down = false
	l.opts.Router.SetServices(l.opts.Fleet().Services)
	l.opts.Router.ApplyListing(listing)
	if l.opts.OnListing != nil {
		l.opts.OnListing(listing)
	}
}

// loadPoller reads the load of one target after the other. A frozen target
// costs its own timeout and stops nobody else's report for longer.
type loadPoller struct {
	opts PollOptions
	read map[protocol.TargetID]time.Time
	// round holds the targets of the current round, those due first at its
	// end.
	round []Status
}

// String names the duty.
func (l *loadPoller) String() string { return "load reports" }

// Serve implements suture.Service.
func (l *loadPoller) Serve(ctx context.Context) error {
	step := time.Duration(float64(time.Second) / l.opts.LoadsPerSecond)
	for {
		l.poll(ctx, time.Now(), step)
		if !wait.For(ctx, step) {
			return ctx.Err()
		}
	}
}

// pollSteps is how many steps one read may take: a frozen target delays the
// others by as much.
const pollSteps = 4

func (l *loadPoller) poll(ctx context.Context, now time.Time, step time.Duration) {
	next, ok := l.next(now)
	if !ok {
		return
	}
	l.read[next.Target] = now
	ctx, cancel := context.WithTimeout(ctx, pollSteps*step)
	defer cancel()
	load, err := l.opts.Loads.Load(ctx, next.Address)
	if err != nil {
		return
	}
	if load.Target != "" && load.Target != next.Target {
		// Another process has taken over the address; the list will say so.
		published.Add("load_of_another_target", 1)
		return
	}
	load.Target = next.Target
	l.opts.Router.ApplyReport(load)
}

// remoteEvery is how many times rarer targets of other domains are read.
const remoteEvery = 4

// next is the most overdue target of the round.
func (l *loadPoller) next(now time.Time) (Status, bool) {
	if len(l.round) == 0 {
		l.begin(now)
	}
	if len(l.round) == 0 {
		return Status{}, false
	}
	last := len(l.round) - 1
	next := l.round[last]
	l.round = l.round[:last]
	return next, true
}

// begin starts a round with all targets whose report is due.
func (l *loadPoller) begin(now time.Time) {
	known := make(map[protocol.TargetID]time.Time, len(l.read))
	for _, t := range l.opts.Router.Targets() {
		known[t.Target] = l.read[t.Target]
		if now.Sub(l.read[t.Target]) >= l.due(t) {
			l.round = append(l.round, t)
		}
	}
	// Targets that are gone are forgotten with the old map.
	l.read = known
	slices.SortFunc(l.round, func(a, b Status) int { return known[b.Target].Compare(known[a.Target]) })
}

func (l *loadPoller) due(t Status) time.Duration {
	if t.Domain != l.opts.Domain {
		return remoteEvery * l.opts.LoadInterval
	}
	return l.opts.LoadInterval
}
