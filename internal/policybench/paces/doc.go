// Package paces simulates in virtual time how requests are spread over targets whose speed differs
// and changes while they serve. The production decision code of placement, broker and pace runs
// against a model of the targets and of the messages between instances and brokers. A run with the
// same seed gives the same result on every machine.
//
// The model includes targets at three speeds, slow phases at random moments, reports that are old
// or lost, the messages from instances to brokers, and requests that wait for a slot.
//
// The model leaves out batch items, faults, the processor time of instances and the effect of
// the number of running requests on a target's speed.
package paces
