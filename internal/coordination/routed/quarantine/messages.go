package quarantine

import "time"

// Report carries what an instance has learned to another one. It is part of a heartbeat and
// encoded with gob, so the field names of the types in this file are part of the wire format.
// Ages are counted back from when the report was made.
type Report struct {
	// Version is the sender's version after the last change in the report. The receiver names it
	// to get what came after.
	Version  uint64
	Crashes  []Crash
	Began    []FirstEvent
	Closures []Closure
	// Requests are those under which targets ended. An earlier release ignores them.
	Requests []RequestEnds
}

// RequestEnds are the targets that ended under one request.
type RequestEnds struct {
	// Key identifies the request, Request is the id of one of its attempts or of the item.
	Key, Request string
	// Ends are the ended targets, the oldest first.
	Ends []RequestEnd
	// Completed reports that a target completed the request CompletedAge ago.
	Completed    bool
	CompletedAge time.Duration
}

// RequestEnd is the end of one incarnation of a target while a request ran there.
type RequestEnd struct {
	Target  string
	Started int64
	// Events is the number of events that the run had sent, Position that of the last event of all
	// runs.
	Events, Position int
	// SeenBy is the instance that lost the request.
	SeenBy string
	State  EndState
	// Simultaneous is the number of other targets that ended at the same moment.
	Simultaneous int
	// Ran is how long targets had worked on the request since its last end. An earlier release does
	// not tell it.
	Ran time.Duration
	// Losses is the number of times that the target lost the request, while it is undecided whether it ended.
	Losses int
	Age    time.Duration
}

// Crash is the end of one incarnation of a target while requests waited there for their first
// event.
type Crash struct {
	Target string
	// Started is the start of the target's incarnation in Unix milliseconds, by its own clock.
	Started int64
	// Parts are the suspects, sorted.
	Parts []string
	// SeenBy are instances that lost requests there.
	SeenBy []string
	Age    time.Duration
}

// FirstEvent tells when a request with a part last got its first event.
type FirstEvent struct {
	Part string
	Age  time.Duration
}

// Closure is a set of parts whose requests are rejected. A request is concerned if its prompt has
// all of them.
type Closure struct {
	// Parts are sorted. There is more than one if no crash tells them apart. The closure of a single
	// request has its key in their place.
	Parts []string
	// Crashes is the number of crashes that closed them, Targets some of the targets, SeenBy
	// some of the instances that saw them.
	Crashes int
	Targets []string
	SeenBy  []string
	// ClosedAge is the time since the parts were closed, LastCrashAge that since the last crash.
	ClosedAge, LastCrashAge time.Duration
	// Trials is the number of trials that ended with a crash.
	Trials int
	// Opened reports that a request with the parts got its first event OpenedAge ago.
	Opened    bool
	OpenedAge time.Duration
	// TrialBy is the instance that claims the next trial, empty if none does, since TrialAge.
	TrialBy  string
	TrialAge time.Duration
	// Suspended reports that something other than the parts may have caused the crashes, and that the next request
	// tries them. An earlier release takes them for closed.
	Suspended bool
}

// Position is how far an instance has read the reports of another one.
type Position struct {
	// Start identifies the incarnation of the other instance.
	Start   int64
	Version uint64
}
