// Package quarantine keeps requests from targets whose prompt has a part that crashes each
// target that begins to answer it, a query of death.
//
// Each instance notes which of its requests were lost before their first event because their
// target crashed. The parts of their prompts that other requests may share are suspects of that
// crash. A first event of any other request acquits its parts of all crashes before it. A crash
// also ends sound requests that were still waiting for their first event at the same target, so
// a crash that one part explains does not count against the others. A part under which enough
// targets have crashed is closed: its requests are rejected at once, at all instances.
//
// What instances have seen are facts that only grow: crashes, named by the incarnation of the
// target, and the times of first events and of closings. Heartbeats carry them, in any order and
// any number of times, and each instance passes on what is new to it. Closed parts are also
// written to the store, for a start of the whole fleet and for instances that no heartbeat of
// this release reaches.
//
// A closed part is tried again after some minutes by a single request of the whole fleet. Its
// first event opens the part. Another crash keeps it closed for twice as long.
package quarantine
