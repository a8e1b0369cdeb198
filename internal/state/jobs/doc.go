// Package jobs is the state of batch jobs as it stands in one partition of a
// keyed log: the items of each job, its results in the order in which they were
// listed, and whether it was ended.
//
// Every instance that reads the partition comes to the same state. A job is a
// head record with records of items; all of them may be written twice, since a
// repeat writes the same. The end of a job is a mark that stays, whatever else
// is written and in whatever order. A result stands under its job and position,
// and is written only where the partition ends as its writer knows it. So two
// writers can't give one position to different results, nor one item two
// positions: the second of them is refused, reads what came first, and finds its
// item listed or the next position free.
//
// The package is pure: no I/O, no clock, no goroutine.
package jobs
