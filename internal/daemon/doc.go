// Package daemon wires the components of an instance that serves callers into one
// supervised process. The package contains no decision logic of its own: each file
// connects the packages of one concern, and daemon.go defines the order of the start and
// of a graceful shutdown.
package daemon
