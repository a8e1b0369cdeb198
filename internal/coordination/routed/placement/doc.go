// Package placement chooses the target of each request and batch item.
//
// Many instances send to one set of targets that have few slots. A request that finds no
// free slot waits in the target's own queue, which is first come, first served: targets
// know no priorities. Each instance therefore counts its requests in flight at each target,
// receives the counts of the other instances, and sends to a target with a free slot.
//
// Batch items fill the slots that online requests leave free. When all slots are taken, an
// online request goes to a target that runs batch items, and one of those items yields its
// slot at once. The item resumes on another target at the event at which it stopped, which
// costs another prefill of its prompt and loses no output.
//
// Decisions are pure: the time, the counts and the results are arguments.
package placement
