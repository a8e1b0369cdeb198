package protocol

import "time"

// ControlStream is the one stream that gives every agreement its total order.
// All instances replay it, so its records are small: bulk data goes to
// DataStream and the control record carries its offset.
const ControlStream = "control"

// DataStream holds batch input chunks, batch results and stored answers. It is
// read by offset only.
const DataStream = "data"

// SnapshotStream holds snapshots of the replayed state.
const SnapshotStream = "snapshot"

// Frame is what one append to ControlStream carries: the records that one
// instance had waiting when its previous append was settled.
type Frame struct {
	Records []Record `cbor:"1,keyasint"`
}

// Record is one entry of the control stream. Exactly one body is set.
//
// A record has no effect by being appended. Each reader, applying the stream
// in order, accepts or rejects it by the same pure function, so a writer
// learns the fate of its record only by reading it back.
type Record struct {
	ID RecordID `cbor:"1,keyasint"`

	SessionOpen   *SessionOpen   `cbor:"10,keyasint,omitempty"`
	SessionRenew  *SessionRenew  `cbor:"11,keyasint,omitempty"`
	SessionExpire *SessionExpire `cbor:"12,keyasint,omitempty"`
	SessionClose  *SessionClose  `cbor:"13,keyasint,omitempty"`

	LeaseClaim   *LeaseClaim   `cbor:"20,keyasint,omitempty"`
	LeaseRelease *LeaseRelease `cbor:"21,keyasint,omitempty"`

	FleetChange *FleetChange `cbor:"30,keyasint,omitempty"`
	KeyWithdraw *KeyWithdraw `cbor:"31,keyasint,omitempty"`

	JobSubmit    *JobSubmit    `cbor:"40,keyasint,omitempty"`
	ChunkClaim   *ChunkClaim   `cbor:"41,keyasint,omitempty"`
	ChunkRelease *ChunkRelease `cbor:"42,keyasint,omitempty"`
	ChunkResult  *ChunkResult  `cbor:"43,keyasint,omitempty"`
	JobCancel    *JobCancel    `cbor:"44,keyasint,omitempty"`
	JobExpire    *JobExpire    `cbor:"45,keyasint,omitempty"`
	DataMoved    *DataMoved    `cbor:"46,keyasint,omitempty"`
	JobForget    *JobForget    `cbor:"47,keyasint,omitempty"`
	ChunkResults *ChunkResults `cbor:"48,keyasint,omitempty"`

	CallReserve *CallReserve `cbor:"50,keyasint,omitempty"`
	CallOutcome *CallOutcome `cbor:"51,keyasint,omitempty"`
	CallRelease *CallRelease `cbor:"52,keyasint,omitempty"`
	CallForget  *CallForget  `cbor:"53,keyasint,omitempty"`
}

// SessionOpen starts the session named by the record's ID. It is rejected if
// that session was ever opened before.
type SessionOpen struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Domain   Domain     `cbor:"2,keyasint"`
	// PeerAddress is where other instances reach this one, "ip:port".
	PeerAddress string `cbor:"3,keyasint"`
	// CallerAddress is where callers reach this one, "ip:port".
	CallerAddress string `cbor:"4,keyasint"`
}

// SessionRenew keeps the writer's session open.
type SessionRenew struct{}

// SessionExpire ends another session whose renewals stopped. It is rejected if
// a renewal later than LastRenewal precedes it in the stream.
type SessionExpire struct {
	Session     SessionID `cbor:"1,keyasint"`
	LastRenewal Offset    `cbor:"2,keyasint"`
}

// SessionClose ends the writer's session at a graceful shutdown.
type SessionClose struct{}

// Resource names a thing that at most one session holds at a time.
type Resource string

// LeaseClaim takes a resource for the writer's session. It is accepted if the
// resource is free, or if its holder's session has ended. Replaces is the
// fencing number of the holder that the writer saw, NoOffset if none: a claim
// made from an outdated view is rejected.
type LeaseClaim struct {
	Resource Resource `cbor:"1,keyasint"`
	Replaces Offset   `cbor:"2,keyasint"`
}

// LeaseRelease gives a resource back. Only its holder may.
type LeaseRelease struct {
	Resource Resource `cbor:"1,keyasint"`
}

// FleetObject is one piece of configuration. Exactly one field is set.
type FleetObject struct {
	Organisation *Organisation `cbor:"1,keyasint,omitempty" json:"organisation,omitempty"`
	Key          *Key          `cbor:"2,keyasint,omitempty" json:"key,omitempty"`
	Model        *Model        `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	Service      *Service      `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Domain       *DomainShare  `cbor:"5,keyasint,omitempty" json:"domain,omitempty"`
}

// FleetRef names an object to remove. Exactly one field is set. Keys are never
// removed, only withdrawn, so that their ids are not used again.
type FleetRef struct {
	Organisation OrganisationID `cbor:"1,keyasint,omitempty" json:"organisation,omitempty"`
	Model        ModelName      `cbor:"2,keyasint,omitempty" json:"model,omitempty"`
	Service      ServiceName    `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Domain       Domain         `cbor:"4,keyasint,omitempty" json:"domain,omitempty"`
}

// FleetChange publishes configuration. It is accepted only if BasedOn is still
// the version in force, so that of two racing operators one gets a conflict.
type FleetChange struct {
	// ChangeID is drawn by the operator's tool and makes a resend idempotent.
	ChangeID string        `cbor:"1,keyasint"`
	BasedOn  Offset        `cbor:"2,keyasint"`
	Set      []FleetObject `cbor:"3,keyasint,omitempty"`
	Remove   []FleetRef    `cbor:"4,keyasint,omitempty"`
	// Operator is the id of the operator's key.
	Operator string `cbor:"5,keyasint"`
	// At is the operator's clock, for display only.
	At time.Time `cbor:"6,keyasint"`
}

// KeyWithdraw is a tombstone on a caller's key. It is always accepted, also
// for a key not known yet.
type KeyWithdraw struct {
	Key      KeyID  `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
}

// ChunkRef points at a chunk of batch input in DataStream.
type ChunkRef struct {
	Offset Offset `cbor:"1,keyasint"`
	// Items is the number of items in the chunk, at most MaxChunkItems.
	Items int `cbor:"2,keyasint"`
	// First is the index of the chunk's first item in the entry. Chunks share
	// an entry where their items are small.
	First int `cbor:"3,keyasint,omitempty"`
}

// MaxChunkItems bounds the items of one chunk, so that a bitmap of a chunk's
// items is 32 bytes.
const MaxChunkItems = 256

// JobSubmit is the manifest of a batch job, appended after all its chunks. The
// first manifest with an organisation's idempotency key wins; a resent job
// finds it.
type JobSubmit struct {
	Job            JobID          `cbor:"1,keyasint"`
	Organisation   OrganisationID `cbor:"2,keyasint"`
	IdempotencyKey string         `cbor:"3,keyasint,omitempty"`
	// Endpoint is the path each item is sent to, "/v1/chat/completions".
	Endpoint string     `cbor:"4,keyasint"`
	Chunks   []ChunkRef `cbor:"5,keyasint"`
	// Created and Deadline are wall clock; replay never compares them.
	Created  time.Time `cbor:"6,keyasint"`
	Deadline time.Time `cbor:"7,keyasint"`
	// InputFile is the id of the file that the caller uploaded.
	InputFile string `cbor:"8,keyasint,omitempty"`
	// Metadata is the caller's own, given back as it came.
	Metadata map[string]string `cbor:"9,keyasint,omitempty"`
	// InputHash is the hash of the input file's bytes. It tells a resent job,
	// whose file may have been uploaded anew, from a reused idempotency key.
	InputHash uint64 `cbor:"10,keyasint,omitempty"`
}

// ChunkClaim takes chunks of a job for the writer's session. Each chunk is
// decided by itself: free, or held by an ended session.
type ChunkClaim struct {
	Job    JobID `cbor:"1,keyasint"`
	Chunks []int `cbor:"2,keyasint"`
}

// ChunkRelease gives chunks back, for a graceful shutdown or a domain without
// targets for them.
type ChunkRelease struct {
	Job    JobID `cbor:"1,keyasint"`
	Chunks []int `cbor:"2,keyasint"`
}

// ChunkResult reports results of some items of a chunk. The first result of an
// item in stream order is its completion; later ones are dropped. It does not
// matter who held the claim: re-execution costs work, not correctness.
type ChunkResult struct {
	Job   JobID `cbor:"1,keyasint"`
	Chunk int   `cbor:"2,keyasint"`
	// Data is the offset in DataStream that holds the results.
	Data Offset `cbor:"3,keyasint"`
	// Items is a bitmap: bit i stands for item i of the chunk.
	Items []byte `cbor:"4,keyasint"`
	// Failed is a bitmap of the items that ended as a failed result.
	Failed []byte `cbor:"5,keyasint,omitempty"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"6,keyasint,omitempty"`
}

// ChunkResults reports results of several chunks in one record, so that a group
// of results that was appended together costs one frame. Each part is decided
// by itself; the record is accepted if one of them is.
type ChunkResults struct {
	Parts []ChunkResult `cbor:"1,keyasint"`
}

// JobCancel stops a job. Results that precede it in the stream stand.
type JobCancel struct {
	Job JobID `cbor:"1,keyasint"`
	// Organisation must own the job.
	Organisation OrganisationID `cbor:"2,keyasint"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"3,keyasint,omitempty"`
}

// JobExpire ends a job whose deadline has passed on the writer's clock. Items
// without a result end as expired.
type JobExpire struct {
	Job JobID `cbor:"1,keyasint"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"2,keyasint,omitempty"`
}

// DataMoved says that an entry of DataStream that was about to leave retention
// stands again at a later offset.
type DataMoved struct {
	Job   JobID `cbor:"1,keyasint"`
	Chunk int   `cbor:"2,keyasint"`
	// From is the old offset; To the new one. A move from an offset that the
	// state does not know is rejected.
	From Offset `cbor:"3,keyasint"`
	To   Offset `cbor:"4,keyasint"`
}

// JobForget drops an ended job whose results are past their readable time.
type JobForget struct {
	Job JobID `cbor:"1,keyasint"`
}

// CallKey identifies a call that may not be repeated: the organisation with
// the idempotency key it sent.
type CallKey struct {
	Organisation OrganisationID `cbor:"1,keyasint"`
	Key          string         `cbor:"2,keyasint"`
}

// CallReserve reserves the only dispatch of a call that may not be repeated.
// The first valid record wins; the loser never sends.
type CallReserve struct {
	Call CallKey `cbor:"1,keyasint"`
	// ID is drawn for this dispatch and echoed by the target.
	ID CallID `cbor:"2,keyasint"`
	// BodyHash detects a key that is used again for another request.
	BodyHash uint64 `cbor:"3,keyasint"`
	// At is the writer's wall clock, used to forget old reservations.
	At time.Time `cbor:"4,keyasint"`
}

// CallOutcome settles a reserved call. A reservation without an outcome is
// never dispatched again.
type CallOutcome struct {
	Call CallKey `cbor:"1,keyasint"`
	ID   CallID  `cbor:"2,keyasint"`
	// Status is the target's HTTP status; 0 means the outcome is unknown.
	Status int `cbor:"3,keyasint"`
	// Data is the offset in DataStream of the stored answer, or NoOffset.
	Data Offset `cbor:"4,keyasint"`
}

// CallRelease withdraws a reservation whose call certainly did not run, so
// that a resend may try again.
type CallRelease struct {
	Call CallKey `cbor:"1,keyasint"`
	ID   CallID  `cbor:"2,keyasint"`
}

// CallForget drops reservations accepted at or before UpTo, whose time to be
// remembered is over.
type CallForget struct {
	UpTo Offset `cbor:"1,keyasint"`
}

// Verdict is what replay decided of one record.
type Verdict string

// The verdicts of replay. All but Accepted leave the state unchanged.
const (
	Accepted       Verdict = "accepted"
	Duplicate      Verdict = "duplicate"
	NoSession      Verdict = "no_session"
	Conflict       Verdict = "conflict"
	AlreadyHeld    Verdict = "already_held"
	NotHolder      Verdict = "not_holder"
	AlreadyEnded   Verdict = "already_ended"
	Renewed        Verdict = "renewed"
	UnknownSubject Verdict = "unknown_subject"
	Malformed      Verdict = "malformed"
)
