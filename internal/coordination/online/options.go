package online

import (
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination"
	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// KeyChecker reports whether a key is active. access.Keys implements it.
type KeyChecker interface {
	Active(id protocol.KeyID) bool
}

// Options configures a Handler. Keys, Limits, Admission, AtMostOnce,
// ConfigCurrent, Loads, Observe and Logger may be nil.
type Options struct {
	Fleet     func() *protocol.Fleet
	Keys      KeyChecker
	Limits    coordination.Limits
	Admission coordination.Admission
	Router    coordination.Router
	// Target sends idempotent calls. AtMostOnceTarget sends calls that are not
	// idempotent, over connections of its own; if it is nil, Target is used.
	Target           external.Target
	AtMostOnceTarget external.Target
	AtMostOnce       AtMostOnceCaller
	// ConfigCurrent reports whether this instance has the newest configuration
	// that it can have. After a long pause of the process it has not, until
	// the log has been read. If ConfigCurrent is nil, the configuration always
	// counts as current.
	ConfigCurrent func() bool
	// Loads checks that a target still responds while a call without streaming
	// takes long. If Loads is nil, such a call ends only at its deadline.
	Loads external.LoadReports
	// Observe receives the outcome of each call, for the burn report. It must
	// not block.
	Observe func(Observation)
	Logger  log.Logger
	Policy  Policy
}

// Policy holds the settings of a Handler. A zero field takes its default.
type Policy struct {
	// Timeout bounds every call, also one whose caller sent a later deadline
	// or none, so that an instance that shuts down can wait for all its calls.
	// Default 2 min.
	Timeout time.Duration
	// FirstByteTimeout ends an attempt of an idempotent call that has received
	// no first byte. Default 10 s: five times the latency objective for the
	// first token, so that only a target that is down or hangs reaches it.
	// A call without streaming may take longer as long as its target answers
	// load requests.
	FirstByteTimeout time.Duration
	// ProbeTimeout bounds such a load request. Default 2 s.
	ProbeTimeout time.Duration
	// StallTimeout ends an attempt whose stream has received no event for this
	// time. Default 5 s, more than a hundred times the latency objective
	// between tokens.
	StallTimeout time.Duration
	// MaxAttempts bounds the attempts for one call. Default 3.
	MaxAttempts int
	// RetryRatio, RetryPerSecond and RetryBurst are the retry budget: the
	// retries that each call adds to it, the retries that each second adds, and
	// the most retries that it can hold. Defaults 0.1, 1 and 20: retries add at
	// most a tenth to the load of a fleet whose calls fail.
	RetryRatio, RetryPerSecond, RetryBurst float64
	// MaxResponseBytes bounds a response that is read to its end before it is
	// delivered, in bytes. Default 16 MiB.
	MaxResponseBytes int64
	// RetryAfter is the retry delay stated in a refusal, for example when no
	// target is available. Default 1 s.
	RetryAfter time.Duration
	// AllowHeaders are additional request headers that are passed to targets.
	AllowHeaders []string
	// CancelTimeout bounds a cancel request to a target. Default 1 s.
	CancelTimeout time.Duration
}

func (p Policy) withDefaults() Policy {
	defaults.SetPositive(&p.Timeout, 2*time.Minute)
	defaults.SetPositive(&p.FirstByteTimeout, 10*time.Second)
	defaults.SetPositive(&p.ProbeTimeout, 2*time.Second)
	defaults.SetPositive(&p.StallTimeout, 5*time.Second)
	defaults.SetPositive(&p.MaxAttempts, 3)
	defaults.SetPositive(&p.RetryRatio, 0.1)
	defaults.SetPositive(&p.RetryPerSecond, 1)
	defaults.SetPositive(&p.RetryBurst, 20)
	defaults.SetPositive(&p.MaxResponseBytes, 16<<20)
	defaults.SetPositive(&p.RetryAfter, time.Second)
	defaults.SetPositive(&p.CancelTimeout, time.Second)
	return p
}
