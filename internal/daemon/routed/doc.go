// Package routed wires an instance that serves the routes which operators
// publish in a shared store. It decides nothing itself: daemon.go joins the
// duties, local.go joins what instances tell each other, and leave.go gives the
// order of a graceful shutdown.
package routed
