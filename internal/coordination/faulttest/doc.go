// Package faulttest proves batch jobs and calls that may not be repeated under
// faults: several instances with their real journals and duties run on one
// in-memory log, in virtual time, and each cell of the fault matrix strikes
// one of them at one step.
//
// It holds tests only.
package faulttest
