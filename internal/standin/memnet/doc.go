// Package memnet is a network in memory for tests of whole instances. Its hosts
// listen and dial by "ip:port"; paths between hosts have a delay and can be cut,
// one way or both; a host can lose its power or its process.
//
// It blocks on channels and condition variables only, so that instances run in a
// bubble of testing/synctest: time passes when all of them wait, and a day of
// seconds takes milliseconds.
package memnet
