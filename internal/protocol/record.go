package protocol

import "time"

// ControlStream is the stream that defines the total order of all control records. All
// instances replay it, so its records are small: bulk data is in DataStream, and the
// control record contains its offset.
const ControlStream = "control"

// DataStream contains batch input chunks, batch results and stored answers. It is read
// by offset only.
const DataStream = "data"

// SnapshotStream contains snapshots of the replayed state.
const SnapshotStream = "snapshot"

// Frame is the payload of one append to ControlStream. It contains the records that an
// instance had queued when the outcome of its previous append became known.
type Frame struct {
	Records []Record `cbor:"1,keyasint"`
}

// Record is one entry of the control stream. Exactly one body is set.
//
// Appending a record has no effect in itself. Each reader applies the stream in order
// and accepts or rejects the record by the same deterministic function. A writer
// therefore learns the verdict on its record only by reading the record back.
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

// SessionOpen opens the session in the record's ID. It is rejected if that session was
// ever opened before.
type SessionOpen struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Domain   Domain     `cbor:"2,keyasint"`
	// PeerAddress is the address for calls from other instances, "ip:port".
	PeerAddress string `cbor:"3,keyasint"`
	// CallerAddress is the address for requests from callers, "ip:port".
	CallerAddress string `cbor:"4,keyasint"`
}

// SessionRenew keeps the writer's session open.
type SessionRenew struct{}

// SessionExpire ends the session of another instance whose renewals have stopped. It is
// rejected if a renewal later than LastRenewal precedes it in the stream.
type SessionExpire struct {
	Session     SessionID `cbor:"1,keyasint"`
	LastRenewal Offset    `cbor:"2,keyasint"`
}

// SessionClose ends the writer's session at a graceful shutdown.
type SessionClose struct{}

// Resource identifies something that at most one session holds at a time.
type Resource string

// LeaseClaim claims a resource for the writer's session. It is accepted if the resource
// is free or the session of its holder has ended.
type LeaseClaim struct {
	Resource Resource `cbor:"1,keyasint"`
	// Replaces is the fencing number of the previous holder in the writer's state,
	// NoOffset if there was none. A claim based on an outdated state is rejected.
	Replaces Offset `cbor:"2,keyasint"`
}

// LeaseRelease releases a resource. It is rejected if the writer's session is not the
// holder.
type LeaseRelease struct {
	Resource Resource `cbor:"1,keyasint"`
}

// FleetObject is one object of the configuration. Exactly one field is set.
type FleetObject struct {
	Organisation *Organisation `cbor:"1,keyasint,omitempty" json:"organisation,omitempty"`
	Key          *Key          `cbor:"2,keyasint,omitempty" json:"key,omitempty"`
	Model        *Model        `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	Service      *Service      `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Domain       *DomainShare  `cbor:"5,keyasint,omitempty" json:"domain,omitempty"`
}

// FleetRef identifies an object to remove. Exactly one field is set. Keys are only
// withdrawn and never removed, so that their ids are not reused.
type FleetRef struct {
	Organisation OrganisationID `cbor:"1,keyasint,omitempty" json:"organisation,omitempty"`
	Model        ModelName      `cbor:"2,keyasint,omitempty" json:"model,omitempty"`
	Service      ServiceName    `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Domain       Domain         `cbor:"4,keyasint,omitempty" json:"domain,omitempty"`
}

// FleetChange publishes configuration. It is accepted only if BasedOn is still the
// version in force, so that one of two concurrent changes is rejected as a conflict.
type FleetChange struct {
	// ChangeID is generated by the operator's tool and makes a resend idempotent.
	ChangeID string `cbor:"1,keyasint"`
	// BasedOn is the configuration version that the change was made from.
	BasedOn Offset `cbor:"2,keyasint"`
	// Set contains the objects to add or replace, Remove those to remove.
	Set    []FleetObject `cbor:"3,keyasint,omitempty"`
	Remove []FleetRef    `cbor:"4,keyasint,omitempty"`
	// Operator is the id of the operator's key.
	Operator string `cbor:"5,keyasint"`
	// At is the time by the operator's clock, for display only.
	At time.Time `cbor:"6,keyasint"`
}

// KeyWithdraw is a tombstone for a caller's key. It is always accepted, even if the key
// is not known yet.
type KeyWithdraw struct {
	Key KeyID `cbor:"1,keyasint"`
	// Operator is the id of the operator's key.
	Operator string `cbor:"2,keyasint"`
}

// ChunkRef is a reference to a chunk of batch input in DataStream.
type ChunkRef struct {
	// Offset is the offset of the entry that contains the chunk.
	Offset Offset `cbor:"1,keyasint"`
	// Items is the number of items in the chunk, at most MaxChunkItems.
	Items int `cbor:"2,keyasint"`
	// First is the index of the chunk's first item in the entry. Chunks with small
	// items share an entry.
	First int `cbor:"3,keyasint,omitempty"`
}

// MaxChunkItems limits the items of one chunk, so that a bitmap of them takes at most
// 32 bytes.
const MaxChunkItems = 256

// JobSubmit is the manifest of a batch job, appended after all its chunks. Only the
// first manifest with a given idempotency key of an organisation is accepted; a job
// that is sent again refers to it.
type JobSubmit struct {
	Job            JobID          `cbor:"1,keyasint"`
	Organisation   OrganisationID `cbor:"2,keyasint"`
	IdempotencyKey string         `cbor:"3,keyasint,omitempty"`
	// Endpoint is the path that each item is sent to, such as
	// "/v1/chat/completions".
	Endpoint string     `cbor:"4,keyasint"`
	Chunks   []ChunkRef `cbor:"5,keyasint"`
	// Created and Deadline are wall clock times; replay never compares them.
	Created  time.Time `cbor:"6,keyasint"`
	Deadline time.Time `cbor:"7,keyasint"`
	// InputFile is the id of the file that the caller uploaded.
	InputFile string `cbor:"8,keyasint,omitempty"`
	// Metadata is set by the caller and returned unchanged.
	Metadata map[string]string `cbor:"9,keyasint,omitempty"`
	// InputHash is the hash of the input file's bytes. It distinguishes a job that is
	// sent again, whose file may have been uploaded again, from a reused idempotency
	// key.
	InputHash uint64 `cbor:"10,keyasint,omitempty"`
}

// ChunkClaim claims chunks of a job for the writer's session. Replay decides on each
// chunk separately: the chunk must be free or held by an ended session.
type ChunkClaim struct {
	Job    JobID `cbor:"1,keyasint"`
	Chunks []int `cbor:"2,keyasint"`
}

// ChunkRelease releases chunks, at a graceful shutdown or if the domain has no targets
// for them.
type ChunkRelease struct {
	Job    JobID `cbor:"1,keyasint"`
	Chunks []int `cbor:"2,keyasint"`
}

// ChunkResult reports results of items of a chunk. The first result of an item in
// stream order completes the item; later ones are ignored, whichever session held
// the claim. Running an item twice therefore costs work but not correctness.
type ChunkResult struct {
	Job   JobID `cbor:"1,keyasint"`
	Chunk int   `cbor:"2,keyasint"`
	// Data is the offset of the results in DataStream.
	Data Offset `cbor:"3,keyasint"`
	// Items is a bitmap of the items with a result: bit i is item i of the chunk.
	Items []byte `cbor:"4,keyasint"`
	// Failed is a bitmap of the items whose result is a failure.
	Failed []byte `cbor:"5,keyasint,omitempty"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"6,keyasint,omitempty"`
}

// ChunkResults reports results of several chunks in one record, so that results that
// were appended together need only one frame. Replay decides on each part
// separately; the record is accepted if at least one part is.
type ChunkResults struct {
	Parts []ChunkResult `cbor:"1,keyasint"`
}

// JobCancel cancels a job. Results that precede it in the stream remain valid.
type JobCancel struct {
	Job JobID `cbor:"1,keyasint"`
	// Organisation must be the owner of the job.
	Organisation OrganisationID `cbor:"2,keyasint"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"3,keyasint,omitempty"`
}

// JobExpire ends a job whose deadline has passed by the writer's clock. Items without a
// result end as expired.
type JobExpire struct {
	Job JobID `cbor:"1,keyasint"`
	// At is the writer's wall clock in Unix seconds; replay never compares it.
	At int64 `cbor:"2,keyasint,omitempty"`
}

// DataMoved reports that an entry of DataStream was copied to a later offset because it
// was about to leave retention.
type DataMoved struct {
	Job   JobID `cbor:"1,keyasint"`
	Chunk int   `cbor:"2,keyasint"`
	// From is the old offset, To the new one. The record is rejected if From is not
	// in the state.
	From Offset `cbor:"3,keyasint"`
	To   Offset `cbor:"4,keyasint"`
}

// JobForget removes an ended job whose results are no longer readable.
type JobForget struct {
	Job JobID `cbor:"1,keyasint"`
}

// CallKey identifies a call that is not idempotent, by the organisation and the
// idempotency key that it sent.
type CallKey struct {
	Organisation OrganisationID `cbor:"1,keyasint"`
	Key          string         `cbor:"2,keyasint"`
}

// CallReserve reserves the single dispatch of a call that is not idempotent. Only the
// first valid record is accepted; other writers don't dispatch the call.
type CallReserve struct {
	Call CallKey `cbor:"1,keyasint"`
	// ID is generated for this dispatch and echoed by the target.
	ID CallID `cbor:"2,keyasint"`
	// BodyHash detects an idempotency key that is reused for another request.
	BodyHash uint64 `cbor:"3,keyasint"`
	// At is the writer's wall clock time. Old reservations are removed by it.
	At time.Time `cbor:"4,keyasint"`
}

// CallOutcome records the outcome of a reserved call. A reservation without an outcome
// is never dispatched again.
type CallOutcome struct {
	Call CallKey `cbor:"1,keyasint"`
	ID   CallID  `cbor:"2,keyasint"`
	// Status is the target's HTTP status; 0 means the outcome is unknown.
	Status int `cbor:"3,keyasint"`
	// Data is the offset in DataStream of the stored answer, or NoOffset.
	Data Offset `cbor:"4,keyasint"`
}

// CallRelease removes a reservation whose call certainly did not run, so that the
// caller may send it again.
type CallRelease struct {
	Call CallKey `cbor:"1,keyasint"`
	ID   CallID  `cbor:"2,keyasint"`
}

// CallForget removes reservations accepted at or before UpTo, whose retention time is
// over.
type CallForget struct {
	UpTo Offset `cbor:"1,keyasint"`
}

// Verdict is the decision of replay on one record.
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
