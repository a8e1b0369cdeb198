// Package target simulates a target: a model engine with continuous batching, or
// a plain service whose calls are not idempotent. Its answers are deterministic,
// and faults can be injected over HTTP or by SetFaults.
package target

import (
	"time"

	"merlintiller/internal/protocol"
)

// Config holds the settings of one Target.
type Config struct {
	ID      protocol.TargetID
	Service protocol.ServiceName
	Domain  protocol.Domain
	// Kind is KindModel, the default, or KindPlain.
	Kind protocol.ServiceKind
	// Address is the listen address, "ip:port". Only Run uses it.
	Address string
	// TokenTime is the time to generate one token with a single call in
	// flight. TokenTimePerStream is added for each other call in flight. Zero
	// does not wait.
	TokenTime, TokenTimePerStream time.Duration
	// PrefillTime is the time before generation of the first token begins.
	PrefillTime time.Duration
	// CallTime is the processing time of a call to a plain service.
	CallTime time.Duration
	// Tokens is the number of tokens of an answer whose request sets neither
	// max_completion_tokens nor max_tokens. Default 32.
	Tokens int
	// LoadLag is the age of the load that the target reports.
	LoadLag time.Duration
	// ChecksFencing makes the target reject orders with an outdated fencing number.
	ChecksFencing bool
	// OrderTime is the time that the target needs to carry out an order.
	OrderTime time.Duration
}

func (c Config) withDefaults() Config {
	if c.Kind == "" {
		c.Kind = protocol.KindModel
	}
	if c.Tokens == 0 {
		c.Tokens = 32
	}
	return c
}

// Headers that the target reads or sets. HeaderResumeAt holds the number of
// events that the caller already has. HeaderNotRun states that a rejected call
// was not executed, HeaderLeaving that the target accepts no new calls.
const (
	HeaderCallID   = "X-Call-Id"
	HeaderResumeAt = "X-Resume-At"
	HeaderNotRun   = "X-Not-Run"
	HeaderLeaving  = "X-Leaving"
)
