// Package daemon wires the duties of an entry instance into one supervised
// process. It decides nothing itself: each file joins the packages of one
// concern, and daemon.go gives the order of start and of a graceful shutdown.
package daemon
