package operatorapi

import (
	"time"

	"merlintiller/internal/protocol"
)

// Paths of the operators' calls.
const (
	PathFleet     = "/operator/v1/fleet"
	PathChanges   = "/operator/v1/fleet/changes"
	PathHistory   = "/operator/v1/fleet/history"
	PathKeys      = "/operator/v1/keys/"
	PathInstances = "/operator/v1/instances"
	PathTargets   = "/operator/v1/targets"
	PathStatus    = "/operator/v1/status"
	PathDrain     = "/operator/v1/drain"
	PathBurn      = "/operator/v1/burn"
)

// FleetAnswer is the configuration in force as one instance sees it.
type FleetAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	// LogUp is false if the instance can't see whether there is a newer one.
	LogUp bool            `json:"log_up"`
	Fleet *protocol.Fleet `json:"fleet"`
}

// ChangeRequest asks to publish a change of the configuration.
type ChangeRequest struct {
	// ChangeID is drawn by the tool; a resend has the same one.
	ChangeID string                 `json:"change_id"`
	BasedOn  protocol.Offset        `json:"based_on"`
	Set      []protocol.FleetObject `json:"set,omitempty"`
	Remove   []protocol.FleetRef    `json:"remove,omitempty"`
	// At is the operator's clock.
	At time.Time `json:"at"`
}

// ChangeAnswer says that a change is in force at the answering instance.
type ChangeAnswer struct {
	Verdict protocol.Verdict `json:"verdict"`
	// Version is the version that the change made.
	Version protocol.Offset `json:"version"`
	Message string          `json:"message"`
	Next    string          `json:"next"`
}

// WithdrawAnswer says how far the withdrawal of a key went.
type WithdrawAnswer struct {
	Key protocol.KeyID `json:"key"`
	// InLog says that the control stream holds the withdrawal, so that every
	// instance learns of it.
	InLog bool `json:"in_log"`
	// Confirmed are the other instances that confirmed it directly.
	Confirmed []protocol.InstanceID `json:"told,omitempty"`
	// Unreached are the known instances that did not.
	Unreached []protocol.InstanceID `json:"unreached,omitempty"`
	Message   string                `json:"message"`
	Next      string                `json:"next"`
}

// ErrorAnswer is the body of every failed call.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes a failure.
type ErrorBody struct {
	Code    protocol.Code     `json:"code"`
	Message string            `json:"message"`
	RunState     protocol.RunState `json:"run_state"`
	// Next tells the operator what to do.
	Next string `json:"next,omitempty"`
}
