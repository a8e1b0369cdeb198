// Package routed wires the components of an instance that serves the routes which
// operators publish in a shared store. The package contains no decision logic of its
// own: daemon.go creates the background services, delegate.go connects the mesh to the
// components that send and consume its data, and leave.go defines the order of a
// graceful shutdown.
package routed
