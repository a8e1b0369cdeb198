// Package faulttest tests batch jobs and non-idempotent calls under injected
// faults. Several instances run with their real journals and background
// services on one in-memory log, in virtual time. Each cell of the fault matrix
// injects one fault into one instance at one step.
//
// It holds tests only.
package faulttest
