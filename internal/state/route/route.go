// Package route holds the routes that operators publish: which requests go to
// which service, for which organisations, and how often they may be tried. A
// Config is decoded once; a Table answers look-ups. Both are immutable, so one
// of them serves all requests that began under it.
package route

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a stream of events. They run at most
	// once, unless the route is resumable.
	Stream Kind = "stream"
	// Batch routes take jobs of many items that run later.
	Batch Kind = "batch"
)

// Route sends requests of a host, below a path prefix, to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that the operator wants a request kept
	// waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event, within
	// which it is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank of its requests; 0 is the highest.
	Priority int
	// Split divides the requests among services by weight.
	Split []WeightedService
	// MaxAttempts bounds the targets that one attempt of a caller runs at.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// PromptAware requests name the parts of their prompt.
	PromptAware bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	// ResultsDue is how long after a job was submitted its results are due.
	ResultsDue time.Duration
	// Retention is how long after that an item may be given up.
	Retention time.Duration
}

// Repeatable says that a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds the connections that a target accepts from all
	// instances together. 0: no bound is known.
	MaxConnections int
	// Slots is how many requests a target runs at once. 0: not known.
	Slots int
	// MemoryTokens is how many prompt and output tokens a target's memory
	// holds. 0: not known.
	MemoryTokens int
	// HealthPath is where a target says how it is.
	HealthPath string
	// WarmUp is how long a target warms up after its start, WarmUpRate how many requests a
	// second may begin at it meanwhile, from all instances together. 0: no bound.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Organisation is who requests run for.
type Organisation struct {
	Name string
	// Secrets are the keys that its callers show.
	Secrets []string
	// Priority goes before that of the route, if it is there.
	Priority *int
	// Rate is in requests a second over all instances, Burst in requests on
	// top. A rate of 0 is no limit.
	Rate, Burst float64
}

// Limits bound what a caller may send and how long it may take. 0: no bound.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of what operators publish.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
