package online

import (
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination"
	"merlintiller/internal/defaults"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// KeyActive tells whether a key may still be served. access.Keys is one.
type KeyActive interface {
	Active(id protocol.KeyID) bool
}

// Options set up a Path. Limits, Admission, Once and Observe may be nil.
type Options struct {
	Fleet     func() *protocol.Fleet
	Keys      KeyActive
	Limits    coordination.Limits
	Admission coordination.Admission
	Router    coordination.Router
	// Target sends repeatable calls, OnceTarget those that may not be
	// repeated, over connections of its own.
	Target           external.Target
	AtMostOnceTarget external.Target
	AtMostOnce       AtMostOnceCaller
	// ConfigCurrent reports whether the configuration is as new as this instance
	// can have it; after a long pause it is not, for the time of a read. Nil
	// is always current.
	ConfigCurrent func() bool
	// Loads asks a target for a sign of life while a whole answer is long in
	// coming. Without it only the deadline ends such a call.
	Loads external.LoadReports
	// Observe is told how each call went, for the burn report. It must not
	// block.
	Observe func(Observation)
	Logger  log.Logger
	// Policy holds the settings.
	Policy Policy
}

// Policy is the path's settings. A zero field takes its default.
type Policy struct {
	// Timeout bounds every call, also one whose caller sent a later deadline
	// or none, so that a leaving instance can wait for all. Default 2 min.
	Timeout time.Duration
	// FirstByteTimeout gives up an attempt of a repeatable call that shows no
	// first byte. Default 10 s: five times the aim for the first token, so
	// that only a dead or frozen target meets it. A whole answer may take
	// longer as long as its target answers a look at its load.
	FirstByteTimeout time.Duration
	// ProbeTimeout bounds that look. Default 2 s.
	ProbeTimeout time.Duration
	// StallTimeout gives up a stream that shows no further event. Default 5 s,
	// more than a hundred times the aim between tokens.
	StallTimeout time.Duration
	// MaxAttempts bounds the attempts of one call. Default 3.
	MaxAttempts int
	// RetryRatio, RetryPerSecond and RetryMost are the retry budget: retries
	// allowed for each call, for each second, and saved up at most. Defaults
	// 0.1, 1 and 20: a fleet in trouble gets at most a tenth more load.
	RetryRatio, RetryPerSecond, RetryMost float64
	// MaxResponseBytes bounds a whole answer in bytes. Default 16 MiB.
	MaxResponseBytes int64
	// RetryAfter is told to callers that were refused for want of a target.
	// Default 1 s.
	RetryAfter time.Duration
	// AllowHeaders are further headers that may pass to targets.
	AllowHeaders []string
	// CancelTimeout bounds a cancel at a target. Default 1 s.
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
	defaults.SetPositive(&p.RetryMost, 20)
	defaults.SetPositive(&p.MaxResponseBytes, 16<<20)
	defaults.SetPositive(&p.RetryAfter, time.Second)
	defaults.SetPositive(&p.CancelTimeout, time.Second)
	return p
}
