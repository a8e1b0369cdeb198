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

// metrics holds the counters of the pollers.
var metrics = expvar.NewMap("routing")

// PollOptions configures the background services that update a Router.
type PollOptions struct {
	Router *Router
	List   external.InstanceList
	Loads  external.LoadReports
	// Fleet returns the current configuration.
	Fleet  func() *protocol.Fleet
	Logger log.Logger
	// ListInterval is the time between reads of the platform's list. Default 1 s,
	// so that a leaving target gets no new calls after about a second.
	ListInterval time.Duration
	// LoadsPerSecond is the maximum number of load reports read per second.
	// Default 20. That is two reads per second for each of ten targets. With
	// hundreds of targets, the reads stay within the budget for control traffic.
	LoadsPerSecond float64
	// LoadInterval is the minimum time between two reads of one target's load.
	// Default 1 s, the lag of the reports.
	LoadInterval time.Duration
	// Domain is the local failure domain. Its targets are read more often than
	// those of other domains.
	Domain protocol.Domain
	// OnListing is called with each listing, for other users of the list. May be
	// nil.
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

// Pollers returns the background services that read the platform's list and the
// targets' load reports.
func Pollers(opts PollOptions) []suture.Service {
	opts = opts.withDefaults()
	return []suture.Service{&listPoller{opts: opts}, &loadPoller{opts: opts, lastRead: map[protocol.TargetID]time.Time{}}}
}

// listPoller periodically passes the platform's list to the router.
type listPoller struct {
	opts PollOptions
	// unreadable says that the last read of the list failed, unreadableLines how many lines of the last list could
	// not be read.
	unreadable      bool
	unreadableLines int
}

// String returns the name of the background service.
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

// poll reads the list once. If the read fails, the last list stays in use.
func (l *listPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ListInterval*2)
	defer cancel()
	listing, err := l.opts.List.List(ctx)
	if err != nil {
		if !l.unreadable {
			_ = l.opts.Logger.Log("event", "target_list_unreadable", "err", err)
		}
		l.unreadable = true
		return
	}
	if l.unreadable {
		_ = l.opts.Logger.Log("event", "target_list_readable")
	}
	l.unreadable = false
	if listing.Unreadable != l.unreadableLines {
		l.unreadableLines = listing.Unreadable
		_ = l.opts.Logger.Log("event", "target_list_lines_unreadable", "lines", listing.Unreadable)
	}
	l.opts.Router.SetServices(l.opts.Fleet().Services)
	l.opts.Router.ApplyListing(listing)
	if l.opts.OnListing != nil {
		l.opts.OnListing(listing)
	}
}

// loadPoller reads the load of one target after another. A target that hangs
// delays the reports of the others only by the timeout of its own read.
type loadPoller struct {
	opts     PollOptions
	lastRead map[protocol.TargetID]time.Time
	// round holds the remaining targets of the current round. The most overdue
	// target is the last one.
	round []Status
}

// String returns the name of the background service.
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

// readTimeoutSteps is the timeout of one read, as a multiple of the time between
// two reads. A target that hangs delays the others by this timeout.
const readTimeoutSteps = 4

func (l *loadPoller) poll(ctx context.Context, now time.Time, step time.Duration) {
	next, ok := l.nextTarget(now)
	if !ok {
		return
	}
	l.lastRead[next.Target] = now
	ctx, cancel := context.WithTimeout(ctx, readTimeoutSteps*step)
	defer cancel()
	load, err := l.opts.Loads.Load(ctx, next.Address)
	if err != nil {
		return
	}
	if load.Target != "" && load.Target != next.Target {
		// Another process now uses the address. The next list will show it.
		metrics.Add("load_of_another_target", 1)
		return
	}
	load.Target = next.Target
	l.opts.Router.ApplyReport(load)
}

// remoteIntervalFactor is the factor by which the read interval of targets in
// other domains is longer.
const remoteIntervalFactor = 4

// nextTarget removes the most overdue target from the round and returns it. It
// starts a new round if the current one is empty, and returns false if no target
// is due.
func (l *loadPoller) nextTarget(now time.Time) (Status, bool) {
	if len(l.round) == 0 {
		l.startRound(now)
	}
	if len(l.round) == 0 {
		return Status{}, false
	}
	last := len(l.round) - 1
	next := l.round[last]
	l.round = l.round[:last]
	return next, true
}

// startRound starts a round of all targets whose read interval has passed.
func (l *loadPoller) startRound(now time.Time) {
	kept := make(map[protocol.TargetID]time.Time, len(l.lastRead))
	for _, t := range l.opts.Router.Targets() {
		kept[t.Target] = l.lastRead[t.Target]
		if now.Sub(l.lastRead[t.Target]) >= l.readInterval(t) {
			l.round = append(l.round, t)
		}
	}
	// The new map no longer contains targets that were removed.
	l.lastRead = kept
	slices.SortFunc(l.round, func(a, b Status) int { return kept[b.Target].Compare(kept[a.Target]) })
}

func (l *loadPoller) readInterval(t Status) time.Duration {
	if t.Domain != l.opts.Domain {
		return remoteIntervalFactor * l.opts.LoadInterval
	}
	return l.opts.LoadInterval
}
