// Package online takes one online call from its key to the last byte of its
// answer: authenticate, hold to the rate, admit, choose a target, call it and
// relay what it says. Each step is a value; none of them writes to a network
// connection itself.
package online
