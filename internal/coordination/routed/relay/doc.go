// Package relay serves one online request: it sends the request to a target and
// forwards the target's answer to the caller.
//
// A request is in one of three states: it did not run, it may have run, or its
// answer has started. Only a request that did not run may be rejected with a
// status that promises that it did not run. A request that is not idempotent is
// retried at another target only while it is in the first state. An idempotent
// request or a resumable stream is also retried in the other two states, up to
// the number of attempts that its route allows. A stream resumes after the last
// complete event that the caller received, so that no event is missing or sent
// twice.
//
// An answer that cannot be completed is truncated, so that the caller can tell
// it from a complete one.
package relay
