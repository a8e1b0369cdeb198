// Package sharedstore stands in for the users' store in tests: a log with keyed
// topics, conditional appends, reads that wait, and groups that divide
// partitions, on the wire form of the platform. Each caller has a door of its
// own, which can be shut, slowed or made to lose answers.
package sharedstore
