// Package target is the stand-in for a target: a model engine that batches
// continuously, or a plain service whose calls may not be repeated. It is
// small, deterministic in what it answers, and shows faults on request.
package target

import (
	"time"

	"merlintiller/internal/protocol"
)

// Config describes one stand-in.
type Config struct {
	ID      protocol.TargetID
	Service protocol.ServiceName
	Domain  protocol.Domain
	// Kind is a model engine or a plain service.
	Kind protocol.ServiceKind
	// Address to listen on, "ip:port". Used by Run only.
	Address string
	// TokenTime is the time of one token with nothing else in flight, and
	// TokenTimePerStream what each other stream adds. Zero does not wait.
	TokenTime, TokenTimePerStream time.Duration
	// PrefillTime is the time to the first token beside TokenTime.
	PrefillTime time.Duration
	// CallTime is how long a plain service works on a call.
	CallTime time.Duration
	// Tokens is the length of an answer whose request sets no max_tokens.
	Tokens int
	// LoadLag is the age of the load that the target reports.
	LoadLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// OrderTime is how long the target works on an order.
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

// Headers of the stand-in's wire form.
const (
	HeaderCallID   = "X-Call-Id"
	HeaderResumeAt = "X-Resume-At"
	HeaderNotRun   = "X-Not-Run"
	HeaderLeaving  = "X-Leaving"
)
