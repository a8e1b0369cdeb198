package settings

import (
	"time"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
)

// day is a calendar-free day.
const day = 24 * time.Hour

// Default gives the value of every field that a settings file may leave out.
// Each stands with the reason for it.
func Default() *Settings {
	return &Settings{
		TLS:     defaultTLS(),
		Limits:  defaultLimits(),
		Timings: defaultTimings(),
		Batch:   defaultBatch(),
		Calls:   defaultCalls(),
		Routing: defaultRouting(),
		// The reasons stand in these packages, beside what was measured.
		Limiter:   limiter.Defaults(),
		Admission: admission.Defaults(),
		Headroom:  headroom.Defaults(),
		Log:       Log{Level: LevelInfo, Format: FormatLogfmt},
	}
}

func defaultTLS() TLS {
	return TLS{
		// A rotated certificate is in use long before the old one ends, and
		// three stat calls a period cost nothing.
		ReloadEvery: 10 * time.Second,
	}
}

func defaultLimits() Limits {
	return Limits{
		// A prompt of 128 k tokens is about 0.5 MB of JSON; 4 MB leaves room
		// for escapes while 100 such calls still fit in memory.
		BodyBytes: 4 << 20,
		// 64 of the largest bodies; a usual one takes some KB.
		BufferedBytes: 256 << 20,
		// 760,000 items at 700 bytes are 530 MB. A file passes through in
		// chunks and is never in memory whole.
		FileBytes: 512 << 20,
		// Keys, ids and the usual client headers stay below 4 KB.
		HeaderBytes: 16 << 10,
		// Clients and balancers send some twenty lines.
		Headers: 100,
		// At about 40 KB a connection: 80 MB at worst.
		Connections: 2048,
		// A caller is a few milliseconds away and its header fits in a few
		// packets, so 5 s allows for several lost ones.
		HeaderTimeout: 5 * time.Second,
		// A body at the limit takes 17 s over 2 Mbit/s, a poor mobile link.
		BodyTimeout: 20 * time.Second,
		// A file at the limit takes 7 minutes over 10 Mbit/s.
		FileTimeout: 10 * time.Minute,
		// The platform's balancer keeps connections for a minute.
		IdleTimeout: 75 * time.Second,
		// A caller that reads nothing for this long has gone; its stream
		// would otherwise hold a place at a target.
		WriteTimeout: 5 * time.Second,
	}
}

func defaultTimings() Timings {
	return Timings{
		// Three renewals fit into Hold, so one lost answer does not stop work.
		Renew: 2 * time.Second,
		// Short enough that a dead instance's chunks are taken over within
		// 15 s, long enough to ride out a slow append.
		Hold: 6 * time.Second,
		// Larger than Hold by far more than clock drift and by the time that
		// a holder needs to notice.
		Expire: 8 * time.Second,
		// Longer than an append takes, so that the first in line is heard
		// before the second proposes the same.
		Stagger: time.Second,
		// Quartz clocks differ by less than 0.0002; this leaves room for a
		// clock that is being slewed.
		ClockDrift: 0.01,
		// Peers are under a millisecond away; a second keeps the cost of 66
		// partners inside the budget for control.
		Heartbeat: time.Second,
		// Three heartbeats, so that a single lost one changes nothing.
		PeerSilenceTimeout: 3 * time.Second,
		// An instance that is replaced is back within this.
		PeerRetention: time.Minute,
		// Hundreds of round trips; longer would hold up the call that asks.
		PeerTimeout: 500 * time.Millisecond,
		// Longer than LogWait, so that a waiting read is not taken for a
		// failed one.
		PlatformTimeout: 3 * time.Second,
		// Waiting reads keep an idle instance at one read a second.
		LogWait: time.Second,
		// Three times LogWait, so that one slow read is no outage.
		LogDownAfter: 3 * time.Second,
		// The platform takes several hundred appends a second: 12 instances
		// at 20 ms stay at 600 when all are busy at once.
		AppendSpacing: 20 * time.Millisecond,
		// It delays what is agreed by as much, so it is short for 12 instances,
		// which write a few entries a second. At 340 it is 200 ms: some 50
		// entries a second then share five answers.
		ReadSpacing: 10 * time.Millisecond,
		// The list itself lags by more than this.
		ListPoll: time.Second,
		// Reports lag by about a second; asking more often shows nothing new.
		LoadPoll: time.Second,
		// A small part of the retention time; replaying as much takes below a
		// second.
		Snapshot: 10 * time.Minute,
		// The balancer and the list notice within this.
		DrainNotice: 3 * time.Second,
		// The notice and the longest call, and time for batch work and the
		// session after them.
		DrainLimit: 3 * time.Minute,
	}
}

func defaultBatch() Batch {
	return Batch{
		// A line must fit in a log entry with room for others.
		LineBytes: 256 << 10,
		// The largest job foreseen has 760,000.
		FileItems: 1_000_000,
		// A result must fit in a log entry with room for others.
		ResultBytes: 512 << 10,
		// Less than the platform's retention, since a file that no job uses
		// is not carried forward.
		FileRetention: day,
		// A job that is not done in a week will never be.
		MaxCompletionWindow: 7 * day,
		// A week lets an office fetch Friday's results on Monday.
		ResultsReadable: 7 * day,
		// Two thousand items keep an instance busy while a claim is on its way.
		HeldChunks: 8,
		// More than the headroom of 10 targets at 16 slots.
		InFlight: 256,
		// Ten minutes of an hour's job are enough to bring it home.
		UrgentLaxity: 10 * time.Minute,
		// Further tries ride out a dying target; more only delay the end of
		// an item that can never be done.
		Attempts: 5,
		// A target that was busy is free again after a second.
		FirstBackoff: time.Second,
		// Longer waits would show as lateness of the whole job.
		MaxBackoff: time.Minute,
		// At two items a second 360 results share an append, and a crash makes
		// as many run again. At the end of a job whole chunks go at once.
		ResultFlush: 3 * time.Minute,
		// An eighth of the memory that an instance may use.
		ResultBufferBytes: 8 << 20,
		// A quarter of the retention time or less leaves room for an outage.
		CarryAge: day,
	}
}

func defaultCalls() Calls {
	return Calls{
		// 2,000 tokens at 36 ms take 72 s. Callers can ask for less, not for
		// more: a leaving instance must be able to wait for every call.
		Deadline: 2 * time.Minute,
		// Five times the aim for the first token, so that only a dead or
		// frozen target meets it.
		FirstByteTimeout: 10 * time.Second,
		// More than a hundred times the aim between tokens.
		StallTimeout: 5 * time.Second,
		// A third target is rarely better than a second.
		Attempts: 3,
		// One retry for ten calls cannot double the load on a failing pool.
		RetryShare: 0.1,
		// 128 k tokens with their JSON are about 2 MB; it is held in memory.
		AnswerBytes: 16 << 20,
		// A caller is better told to come back than kept.
		ReserveTimeout: 3 * time.Second,
		// Longer than any client goes on resending.
		OutcomeRetention: day,
	}
}

func defaultRouting() Routing {
	return Routing{
		// Below it the local target runs well, and crossing domains would
		// cost latency for nothing.
		SpillAt: 1,
		// Two full domains would otherwise trade calls.
		SpillGain: 0.25,
		// Reports are 1 to 2 s old when they are used. All instances that
		// trusted them would turn to the same targets.
		ReportHalfLife: 300 * time.Millisecond,
		// Nearly twice as many prompts found their prefix cached; with more,
		// the tail grows where one prefix has most of the calls.
		AffinityLoad: 0.25,
		// One failure may be the call's own.
		FailuresToEject: 3,
		// A restarting target is back after some seconds.
		EjectFor: 2 * time.Second,
		// A target that stays dead costs one call a minute.
		MaxEjection: time.Minute,
		// Beyond a half the cause is more likely shared, and the rest could
		// not carry the load.
		EjectShare: 0.5,
		// Each of ten targets is read each second with room to spare. At 850
		// targets reports are old at any rate within the budget, so 5 do.
		LoadsPerSecond: 20,
		// The tail of a healthy target stays below it.
		SlowFactor: 4,
	}
}
