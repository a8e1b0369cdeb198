// Package memnet is an in-memory network for tests of whole instances. Its hosts
// listen and dial by "ip:port". Packets have a delay, paths between hosts can be
// blocked in one or both directions, and the process of a host can be killed or
// the host powered off.
//
// The package blocks only on channels and condition variables, so that instances
// can run in a testing/synctest bubble: the clock advances when all goroutines
// wait, and a test that covers a day by the second takes milliseconds.
package memnet
