// Package replica composes the replayed state from its machines.
package replica

import (
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/lease"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/once"
	"merlintiller/internal/state/session"
)

// State is all that is agreed, as of one position in the control stream. It is
// not safe for concurrent use.
type State struct {
	Sessions *session.Table
	Leases   *lease.Table
	Fleet    *fleet.Store
	Ledger   *ledger.Ledger
	Once     *once.Table
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Sessions: session.New(),
		Leases:   lease.New(),
		Fleet:    fleet.New(),
		Ledger:   ledger.New(),
		Once:     once.New(),
	}
}
