// Package route holds the configuration that operators publish: which requests go to
// which service, for which organisations, and how often they may be attempted. A Config
// is decoded once; a Table answers look-ups in it. Both are immutable, so all requests
// that start under a configuration share them.
package route

import "time"

// Kind says how a route's requests run and whether they may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once per attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a stream of events. They run at most once,
	// unless the route is resumable.
	Stream Kind = "stream"
	// Batch routes accept jobs with many items that run later.
	Batch Kind = "batch"
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that the operator lets a request wait.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which the answer is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Split distributes the requests over services by weight.
	Split []WeightedService
	// MaxAttempts bounds the targets at which one attempt of a caller runs.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// PromptAware says that requests list the parts of their prompt.
	PromptAware bool
	// Resumable streams may continue at another target after the last event.
	Resumable bool
	// ResultsDue is the time from the submission of a job to the deadline of its results.
	ResultsDue time.Duration
	// Retention is the time from the submission of a job after which items without a
	// result may be failed.
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
	// MaxConnections bounds the connections that a target accepts from all instances
	// together; 0 if the bound is not known.
	MaxConnections int
	// Slots is the number of requests that a target runs at the same time; 0 if it is
	// not known.
	Slots int
	// MemoryTokens is the number of prompt and output tokens that fit into a target's
	// memory; 0 if it is not known.
	MemoryTokens int
	// HealthPath is the path at which a target reports its health.
	HealthPath string
	// WarmUp is how long a target warms up after its start. WarmUpRate is the number of
	// requests per second that all instances together may start at it in that time; 0
	// means no bound.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Organisation is a tenant, on whose behalf requests run.
type Organisation struct {
	Name string
	// Secrets are the keys with which its callers authenticate.
	Secrets []string
	// Priority, if set, takes precedence over the route's.
	Priority *int
	// Rate is the limit in requests per second over all instances, Burst the number of
	// requests allowed beyond it at once. A rate of 0 means no limit.
	Rate, Burst float64
}

// Limits bound the size of what a caller sends and the time it may take; 0 means no bound.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
