// Package protocol defines the types that several packages of merlintiller share:
// identifiers, the run state of a call, refusals, the fleet's configuration, and the
// records of the control stream.
//
// The package contains no decision logic and does no I/O. The packages of the layers
// above (state, coordination, transport) share these types so that a value has the
// same meaning on both sides of a boundary.
package protocol
