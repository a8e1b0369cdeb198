// Package policybench measures the scheduling policies under load and faults in
// virtual time. The production decision cores of limiter, admission, headroom and
// routing run against a simplified model of targets and callers, so the results
// are the same on every machine, except for the measured cost of a decision. The
// package is part of make bench; production code doesn't use it.
package policybench
