// Package replica composes the replayed state from its machines.
package replica

// State is all that is agreed, as of one position in the control stream.
type State struct{}
