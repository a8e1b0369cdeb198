// Package quarantine keeps requests from targets that crash under them, queries of death: those whose
// prompt has a part that crashes each target that begins to answer it, and single requests that crash the
// targets that run them, whatever their parts.
//
// Each instance notes which of its requests were lost before their first event because their
// target crashed. The parts of their prompts that other requests may share are suspects of that
// crash. A first event of any other request acquits its parts of all crashes before it. A crash
// also ends sound requests that were still waiting for their first event at the same target, so
// a crash that one part explains does not count against the others. A part under which enough
// targets have crashed is closed: its requests are rejected at once, at all instances. If a failure of several targets
// at one moment, or one or two requests, may have caused the crashes, it is suspended: the first request that comes is
// its trial, seconds later.
//
// What instances have seen are facts that only grow: crashes, named by the incarnation of the
// target, and the times of first events and of closings. Heartbeats carry them, in any order and
// any number of times, and each instance passes on what is new to it. Closed parts are also
// written to the store, for a start of the whole fleet and for instances that no heartbeat of
// this release reaches.
//
// A request has a key that its attempts, its repeats by a caller and the runs of an item share. Each target
// that ends while it runs a request leaves it with an end, before its first event or later. A target that
// completes the request acquits it. A request with three ends that came at the same point of its output, or
// that nothing else explains, is closed as a part is. Its caller comes back within milliseconds, so ends count
// from the first check of the target on, until the second one dismisses them, and travel ahead of the
// heartbeats.
//
// A closed request that may be sound is tried again once targets are quiet, any other one and a part after some
// minutes, by a single request of the whole fleet. A trial that ends without an answer and without the end of its target
// tells nothing and is repeated. Its first event opens the part. Another crash keeps it closed for twice as long.
package quarantine
