package settings

import "time"

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
		Log:     Log{Level: LevelInfo, Format: FormatLogfmt},
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
		// 760,000 items at 250 bytes are 190 MB.
		FileBytes: 200 << 20,
		// Keys, ids and the usual client headers stay below 4 KB.
		HeaderBytes: 16 << 10,
		// At about 40 KB a connection: 80 MB at worst.
		Connections: 2048,
		// A caller is a few milliseconds away and its header fits in a few
		// packets, so 5 s allows for several lost ones.
		HeaderTimeout: 5 * time.Second,
		// A body at the limit over a 1 Mbit/s link takes 34 s.
		BodyTimeout: 60 * time.Second,
		// The platform's balancer keeps connections for a minute.
		IdleTimeout: 75 * time.Second,
		// A caller that reads nothing for this long has gone; its stream
		// would otherwise hold a place at a target.
		WriteTimeout: 10 * time.Second,
		// More would wait past any online deadline at 10 targets.
		QueuePerOrganisation: 64,
		// Some hundreds of milliseconds of messages at the target size.
		RingDepth: 1024,
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
		// Peers are under a millisecond away; two missed ones are noticed
		// within PeerSilent.
		Heartbeat: 500 * time.Millisecond,
		// Three heartbeats, so that a single lost one changes nothing.
		PeerSilent: 1500 * time.Millisecond,
		// Hundreds of round trips; longer would hold up the call that asks.
		PeerTimeout: 500 * time.Millisecond,
		// Longer than LogWait, so that a waiting read is not taken for a
		// failed one.
		PlatformTimeout: 3 * time.Second,
		// Waiting reads keep an idle instance at one read a second.
		LogWait: time.Second,
		// The list itself lags by more than this.
		ListPoll: time.Second,
		// Reports lag by about a second; asking more often shows nothing new.
		LoadPoll: 500 * time.Millisecond,
		// Replaying some minutes of the stream takes below a second.
		Snapshot: 2 * time.Minute,
		// The balancer and the list notice within this.
		DrainNotice: 3 * time.Second,
		// Longer than any online deadline.
		DrainLimit: 90 * time.Second,
	}
}

func defaultBatch() Batch {
	return Batch{
		// The most that a chunk may hold: fewer appends for each item.
		ChunkItems: 256,
		// A second and third try ride out a dying target; more only delays
		// the end of an item that can never be done.
		Attempts: 3,
		// The usual batch window of the callers' API.
		Deadline: day,
		// A week lets an office fetch Friday's results on Monday.
		ResultsReadable: 7 * day,
		// Group commits keep appends low; a second is nothing to a job.
		ResultFlush: time.Second,
		// Half an hour of results at 10 items a second of 1 KB.
		ResultBufferBytes: 16 << 20,
	}
}

func defaultCalls() Calls {
	return Calls{
		// A person waits; later answers are not used.
		Deadline: 60 * time.Second,
		// One retry for ten calls cannot double the load on a failing pool.
		RetryShare: 0.1,
		// Longer than any client goes on resending.
		Remember: day,
	}
}
