// Package policybench measures the policies under load and faults in virtual
// time: the real decision cores of limiter, admission, headroom and routing
// drive a small model of targets and callers, so the figures are the same on
// every machine. It is part of make bench and decides nothing by itself.
package policybench
