package inflight

import "time"

// net/rpc encodes the types of this file with gob, which sends fields under their Go names.

// Run is a request that was sent to a target and has not ended, or of which it is not known yet whether its target ended.
type Run struct {
	// Number identifies the run among those of its sender.
	Number uint64
	// Key is the same for all runs of the request, ID is the id under which this one is sent.
	Key, ID string
	// Target is the id of the target, Address where it is, Domain its failure domain, and Started the start of its
	// process in Unix milliseconds, 0 if it is not known.
	Target, Address, Domain string
	Started                 int64
	// Position is that of the last event of the request before the run.
	Position int
	// Parts are the parts of the prompt that other requests may share, Answered reports that the target has sent the first
	// event, so that it bears them.
	Parts    []string
	Answered bool
	// Trial reports that the run is the trial of something that the quarantine has closed.
	Trial bool
	// Age is the time since it was sent, as of the report.
	Age time.Duration
}

// Report tells a holder which runs an instance has begun and ended.
type Report struct {
	Instance string
	// Start distinguishes the incarnations of the instance.
	Start int64
	// Whole is set if Began lists all runs of the instance.
	Whole bool
	Began []Run
	// Answered and Ended are the numbers of runs of which the first event has come, and that have ended.
	Answered, Ended []uint64
}

// Reply is the reply to a Report.
type Reply struct {
	// Known is the number of runs of the instance that the holder has.
	Known int
}

// LostRun is a run whose sender is down or silent.
type LostRun struct {
	Run
	// Sender is the instance that sent it, SentAt when it did.
	Sender string
	SentAt time.Time
}

// Names of the net/rpc methods.
const (
	ReceiverName = "InFlight"
	methodReport = ReceiverName + ".Report"
)
