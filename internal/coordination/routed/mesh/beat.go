package mesh

import (
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/state/roster"
)

// Instance names one life of an instance.
type Instance struct {
	Name   string
	Domain string
	// Address is where it takes calls of other instances, "ip:port".
	Address string
	// Start is when its process started, in Unix milliseconds.
	Start int64
	// Strength is how much processor it has, on a logarithmic scale: one more is half as
	// much again.
	Strength int
}

// Heartbeat is what an instance tells of itself.
type Heartbeat struct {
	From Instance
	// Seq grows with each message of one life.
	Seq uint64
	// Known is a digest of the instances that the sender knows.
	Known uint64
	// Leaving says that the instance will end and holds nothing new.
	Leaving bool
	// ConfigVersion is the version in force, RosterMark how far the list of
	// targets was read.
	ConfigVersion int64
	RosterMark    int64
	RosterDigest  uint64
	// Drains are the failure domains that operators have drained.
	Drains roster.Drains
	// Reads says that the sender reads the list of targets from the store itself.
	Reads bool
	// StoreAge is the time since the platform's store answered this instance.
	StoreAge time.Duration
	// Held is what the instance has at targets.
	Held []placement.Held
	// Admitted are the requests that it let in: all counts if Whole, else those
	// that changed since the last message.
	Admitted quota.Counts
	Whole    bool
	// Informed says that it knows the buckets of the rates.
	Informed bool
	// Levels are the buckets that are not full, if TellsLevels: an empty map is lost on the
	// way. An instance that is informed itself is not told them.
	TellsLevels bool
	Levels      quota.BucketLevels
	// Partitions are those of batch jobs that it holds, as of a generation.
	Partitions []int
	Generation int64
	// Uptime is the time since the sender's start by its steady clock, Young that it is
	// short.
	Uptime time.Duration
	Young  bool
	// Relayed says that another instance passed this on. It has no Held and no Levels.
	Relayed bool
	// Superseded is the start of a later life of the receiver that the sender knows, 0
	// if it knows none.
	Superseded int64
	// Pull asks the receiver for what it has heard, Feed is the answer.
	Pull *Pull
	Feed *Feed
	// HasLost says that it has lost partitions in this life, so that items of theirs
	// may run there.
	HasLost bool
	// Claims are batch items that it runs though it holds their partition no
	// more. The holder leaves them to it as long as it is heard.
	Claims []Claim
}

// Claim is an item of a batch job.
type Claim struct{ Job, Item string }

// SnapshotArgs asks for what the caller lacks.
type SnapshotArgs struct {
	ConfigVersion int64
	RosterMark    int64
}

// SnapshotReply carries what is newer than asked for.
type SnapshotReply struct {
	// Config is the configuration as operators wrote it, empty if it is not
	// newer.
	Config []byte
	// Targets is the whole list as of RosterMark, if Listed.
	Listed     bool
	Targets    []roster.Target
	RosterMark int64
	// Instances are all that the answering one knows.
	Instances []Instance
}

// Names of the net/rpc methods.
const (
	ServiceName    = "Mesh"
	methodExchange = ServiceName + ".Exchange"
	methodSnapshot = ServiceName + ".Snapshot"
)
