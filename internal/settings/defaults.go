package settings

import (
	"time"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
)

// day is 24 hours, regardless of the calendar.
const day = 24 * time.Hour

// Default returns the default values of all optional fields of a settings file.
// The comment on each value gives its reason.
func Default() *Settings {
	return &Settings{
		TLS:     defaultTLS(),
		Limits:  defaultLimits(),
		Timings: defaultTimings(),
		Batch:   defaultBatch(),
		Calls:   defaultCalls(),
		Routing: defaultRouting(),
		// These packages give the reasons for their defaults, with the measurements.
		Limiter:   limiter.Defaults(),
		Admission: admission.Defaults(),
		Headroom:  headroom.Defaults(),
		Log:       Log{Level: LevelInfo, Format: FormatLogfmt},
	}
}

func defaultTLS() TLS {
	return TLS{
		// A rotated certificate is in use long before the old one expires, and
		// the cost of three stat calls a period is negligible.
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
		// 760,000 items of 700 bytes are 530 MB. A file is streamed in chunks
		// and is never completely in memory.
		FileBytes: 512 << 20,
		// Keys, ids and the usual client headers stay below 4 KB.
		HeaderBytes: 16 << 10,
		// Several thousand usual headers of twenty lines.
		HeldHeaderBytes: 32 << 20,
		// Clients and load balancers send about twenty header lines.
		Headers: 100,
		// At about 40 KB a connection, the maximum is 80 MB.
		Connections: 2048,
		// A few for each instance that has this one in its partial view.
		PeerConnections: 512,
		// Two of the largest messages, the state of a whole fleet.
		HeldMessageBytes: 128 << 20,
		// The network latency to a caller is a few milliseconds and a header
		// fits in a few packets, so 5 s allows for several lost packets.
		HeaderTimeout: 5 * time.Second,
		// A body of the maximum size takes 17 s over a poor mobile link of 2 Mbit/s.
		BodyTimeout: 20 * time.Second,
		// A file of the maximum size takes 7 minutes over 10 Mbit/s.
		FileTimeout: 10 * time.Minute,
		// The platform's load balancer keeps idle connections for a minute.
		IdleTimeout: 75 * time.Second,
		// A caller that reads nothing for this long has disconnected; without
		// the timeout its stream would keep a slot at a target occupied.
		WriteTimeout: 5 * time.Second,
	}
}

func defaultTimings() Timings {
	return Timings{
		// Three renewals fit into Hold, so one lost response does not stop work.
		Renew: 2 * time.Second,
		// Short enough that the chunks of a crashed instance are taken over
		// within 15 s, long enough to tolerate a slow append.
		Hold: 6 * time.Second,
		// Expire exceeds Hold by far more than the clock drift plus the time that
		// a session's owner needs to notice that its hold time has passed.
		Expire: 8 * time.Second,
		// Longer than an append takes, so that the second instance in line reads
		// the proposal of the first before it would make the same one.
		Stagger: time.Second,
		// Quartz clocks differ by less than 0.0002; the value leaves room
		// for a clock that is being slewed.
		ClockDrift: 0.01,
		// The network latency between peers is below a millisecond. A period of one
		// second keeps the cost of 66 partners within the budget for control traffic.
		Heartbeat: time.Second,
		// Three heartbeat periods, so that a single lost heartbeat has no effect.
		PeerSilenceTimeout: 3 * time.Second,
		// A replaced instance is running again within this time.
		PeerRetention: time.Minute,
		// Hundreds of round trips. A longer timeout would delay the call that
		// waits for the peer.
		PeerTimeout: 500 * time.Millisecond,
		// Longer than LogWait, so that a read that waits for entries does not time out.
		PlatformTimeout: 3 * time.Second,
		// With long polling an idle instance makes one read a second.
		LogWait: time.Second,
		// Three times LogWait, so that one slow read does not count as an outage.
		LogDownAfter: 3 * time.Second,
		// The platform accepts several hundred appends a second. 12 instances
		// at 20 ms make at most 600 when all of them are busy.
		AppendSpacing: 20 * time.Millisecond,
		// This wait delays every agreed entry, so it is short for 12 instances,
		// which write a few entries a second. At 340 instances it is 200 ms: about
		// 50 entries a second then arrive in five responses.
		ReadSpacing: 10 * time.Millisecond,
		// The platform's list is itself out of date by more than this.
		ListPoll: time.Second,
		// Load reports lag by about a second, so more frequent polls return no new data.
		LoadPoll: time.Second,
		// A small part of the log's retention time. Replaying ten minutes of entries
		// takes less than a second.
		Snapshot: 10 * time.Minute,
		// The load balancer and the platform's list notice the change within this time.
		DrainNotice: 3 * time.Second,
		// The drain notice and the longest call, plus time to finish batch work and
		// to close the session.
		DrainLimit: 3 * time.Minute,
	}
}

func defaultBatch() Batch {
	return Batch{
		// A line must fit in a log entry and leave room for other lines.
		LineBytes: 256 << 10,
		// The largest expected job has 760,000 items.
		FileItems: 1_000_000,
		// A result must fit in a log entry and leave room for other results.
		ResultBytes: 512 << 10,
		// Less than the platform's retention time, because a file that no job
		// uses is not appended again.
		FileRetention: day,
		// A job that is not finished after a week will never finish.
		MaxCompletionWindow: 7 * day,
		// A week is enough to fetch Friday's results on Monday.
		ResultsReadable: 7 * day,
		// Two thousand items keep an instance busy while a claim is in flight.
		HeldChunks: 8,
		// More than the headroom of 10 targets with 16 slots each.
		InFlight: 256,
		// For a job of an hour, ten minutes of priority are enough to finish it in time.
		UrgentLaxity: 10 * time.Minute,
		// Several attempts tolerate a failing target. More attempts only delay the
		// failure of an item that can never succeed.
		Attempts: 5,
		// A busy target has a free slot again after a second.
		FirstBackoff: time.Second,
		// A longer wait would delay the whole job.
		MaxBackoff: time.Minute,
		// At two items a second 360 results share one append, and after a crash
		// as many items run again. At the end of a job complete chunks are appended
		// immediately.
		ResultFlush: 3 * time.Minute,
		// An eighth of the memory that an instance may use.
		ResultBufferBytes: 8 << 20,
		// At most a quarter of the retention time, which leaves room for an outage.
		CarryAge: day,
	}
}

func defaultCalls() Calls {
	return Calls{
		// 2,000 tokens at 36 ms take 72 s. Callers can ask for a shorter deadline but
		// not for a longer one: an instance that drains must be able to wait for every
		// call.
		Deadline: 2 * time.Minute,
		// Five times the objective for the first token, so that only a crashed or
		// frozen target exceeds it.
		FirstByteTimeout: 10 * time.Second,
		// More than a hundred times the objective for the time between tokens.
		StallTimeout: 5 * time.Second,
		// A third target is rarely better than the second.
		Attempts: 3,
		// One retry for every ten calls cannot double the load on a failing pool.
		RetryShare: 0.1,
		// 128 k tokens with their JSON are about 2 MB. The response is held in memory.
		AnswerBytes: 16 << 20,
		// For the caller a rejection that it can retry is better than a longer wait.
		ReserveTimeout: 3 * time.Second,
		// Longer than any client keeps resending a call.
		OutcomeRetention: day,
	}
}

func defaultRouting() Routing {
	return Routing{
		// Below this load the local target performs well, and another failure domain
		// would only add latency.
		SpillAt: 1,
		// Without this margin two fully loaded domains would send calls to each other.
		SpillGain: 0.25,
		// Reports are 1 to 2 s old when they are used. If all instances trusted them
		// fully, all would choose the same targets.
		ReportHalfLife: 300 * time.Millisecond,
		// At this value nearly twice as many prompts found their prefix cached. With a
		// larger value the tail latency grows where one prefix has most of the calls.
		AffinityLoad: 0.25,
		// A single failure may be caused by the call itself.
		FailuresToEject: 3,
		// A restarting target is available again after some seconds.
		EjectFor: 2 * time.Second,
		// A target that stays down costs one failed call a minute.
		MaxEjection: time.Minute,
		// If more than half of the targets fail, a shared cause is more likely, and the
		// other targets could not carry the load.
		EjectShare: 0.5,
		// Enough to read each of ten targets once a second, with a margin. At 850
		// targets reports are out of date at any rate that the budget allows, so 5 are
		// enough there.
		LoadsPerSecond: 20,
		// The tail latency of a healthy target stays below this factor.
		SlowFactor: 4,
	}
}
