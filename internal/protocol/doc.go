// Package protocol holds the types that more than one package of merlintiller
// speaks in: identifiers, the run state of a call, refusals, the fleet's
// configuration, and the records of the control stream.
//
// It decides nothing and does no I/O. Every field says its unit and who sets
// it. Packages of the layers above (state, coordination, transport) share
// these types so that a value means the same thing on each side of a boundary.
package protocol
