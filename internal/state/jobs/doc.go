// Package jobs is the state of the batch jobs in one partition of a keyed log:
// the items of each job, its published results in order, and whether it was
// cancelled.
//
// All instances that read the partition reach the same state. A job consists of a
// head record and records with items. Each of them may be written twice, since a
// repeat writes the same content. A cancellation is permanent, whatever else is
// written and in whatever order. A result is written under its job and position,
// on the condition that the partition ends where the writer expects. So two
// writers can't give one position to different results, or two positions to one
// item. The second append is rejected. Its writer then reads the records of the
// first, and finds that the item has a result or which position is the next free one.
//
// The package is pure: no I/O, no clock, no goroutine.
package jobs
