// Package relay serves one request of a caller by sending it to targets and
// passing the answer back as it came.
//
// A request is in one of three states: it did not run, it may have run, or its
// answer has begun. Only the first may be refused with a promise that it did not
// run. A request that may not be repeated goes to another target only while it
// is in the first state. One that may be repeated goes to another target also
// after that, as long as its route allows attempts; a stream goes on there after
// the last whole event that the caller has, so that no event is missing or
// stands twice.
//
// An answer that can't be finished is cut off, so that it never looks whole.
package relay
