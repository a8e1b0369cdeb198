// Package placement chooses the target of each request and batch item.
//
// The load it answers: many instances send to one set of targets whose slots are
// few, where a request that finds no free slot waits in the target's own queue,
// first come first served, behind whatever came before it. Targets know no
// priorities. So an instance keeps count of what it has at each target, is told
// what the other instances have there, and sends where a slot is free.
//
// Batch items fill slots that online requests leave. When all slots are taken,
// an online request goes where batch items run, and one of those gives up its
// slot at once: an item goes on elsewhere at the event where it stopped, which
// costs the reading of its prompt and no output.
//
// The decision is pure: time, counts and results come in as arguments.
package placement
