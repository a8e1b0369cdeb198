// Package answerbuffer counts and bounds the bytes that an instance holds for callers: parts of
// answers that a caller has not read yet, and bodies of requests.
//
// Levels makes the decisions, from numbers only. Budget keeps the numbers of a process, Buffer the
// bytes of one answer. The package has no goroutines, no clock and no connections: package relay
// writes the bytes to callers.
package answerbuffer
