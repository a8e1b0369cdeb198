package mesh

import (
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/state/roster"
)

// Instance identifies one incarnation of an instance.
type Instance struct {
	Name   string
	Domain string
	// Address is the "ip:port" at which the instance accepts calls from other instances.
	Address string
	// Start is the start time of the process in Unix milliseconds. It distinguishes the
	// incarnations of an instance.
	Start int64
	// Strength is the processor capacity on a logarithmic scale: each step is half as much
	// again. CapacityOf computes it.
	Strength int
}

// Heartbeat is the message that an instance sends about itself. It is encoded by net/rpc
// with gob, so its field names are part of the wire format, and so are those of Instance,
// Claim, FeedRequest, Feed, SnapshotArgs, SnapshotReply and Notice.
type Heartbeat struct {
	From Instance
	// Seq increases with each message of an incarnation.
	Seq uint64
	// Known is a digest of the instances that the sender knows.
	Known uint64
	// Leaving reports that the sender is shutting down and takes on no new work.
	Leaving bool
	// ConfigVersion is the version of the configuration in force. RosterMark is the
	// position up to which the sender has read the list of targets, RosterDigest a digest
	// of that list.
	ConfigVersion int64
	RosterMark    int64
	RosterDigest  uint64
	// Drains are the failure domains that operators have drained.
	Drains roster.Drains
	// Reads reports that the sender reads the list of targets from the store itself.
	Reads bool
	// StoreAge is the time since the platform's store last answered the sender.
	StoreAge time.Duration
	// ListConfirmedAge is the time since the sender's list of targets was known to be current, by
	// an answer of the store or by another instance. 0: not known, or not told by the release.
	ListConfirmedAge time.Duration
	// Held are the slots that the sender occupies at targets.
	Held []placement.InFlight
	// Admitted counts the requests that the sender has admitted, by organisation. It has
	// all counts if Whole is set, else only the counts that changed since the last message.
	Admitted quota.Counts
	Whole    bool
	// Informed reports that the sender knows the state of the rate buckets.
	Informed bool
	// Doubtful reports that the levels have begun without knowledge of what was admitted before.
	Doubtful bool
	// Settling reports that the sender has started so recently that it needs the levels that
	// others know.
	Settling bool
	// Asked are the requests that the sender was asked for since its start, admitted or not, by
	// organisation, for as long as they tell which organisations were hot before.
	Asked quota.Counts
	// Levels are the buckets that are not full; they are valid only if TellsLevels is set,
	// because the encoding drops an empty map. They are left out for a receiver that is
	// informed and not settling.
	TellsLevels bool
	Levels      quota.BucketLevels
	// Partitions are the partitions of batch jobs that the sender owns, as of Generation.
	Partitions []int
	Generation int64
	// Uptime is the time since the sender's start on its monotonic clock. Young reports
	// that the sender has started recently, see recentlyStartedFor.
	Uptime time.Duration
	Young  bool
	// Relayed marks a heartbeat that the receiver has built from a relay's feed. It has no
	// Held and no Levels.
	Relayed bool
	// Superseded is the start of a later incarnation of the receiver that the sender knows,
	// 0 if it knows none.
	Superseded int64
	// Pull requests the receiver's feed, Feed is the answer.
	Pull *FeedRequest
	Feed *Feed
	// Quarantine is what the sender knows of crashes of targets and closed parts of prompts that
	// the receiver may not know yet, nil if there is nothing. QuarantineRead is how far the sender
	// has read the receiver's reports; it requests an answer with what came after that.
	Quarantine     *quarantine.Report
	QuarantineRead *quarantine.Position
	// HasLost reports that this incarnation has lost partitions, so that it may still run
	// items of them.
	HasLost bool
	// Claims are the batch items that the sender runs although it no longer owns their
	// partition. The owner does not run these items as long as the sender is reachable.
	Claims []Claim
}

// Claim identifies a batch item.
type Claim struct{ Job, Item string }

// SnapshotArgs are the versions that the caller has.
type SnapshotArgs struct {
	ConfigVersion int64
	RosterMark    int64
}

// SnapshotReply carries what is newer than the versions in SnapshotArgs.
type SnapshotReply struct {
	// Config is the configuration as operators wrote it. It is empty if there is no newer
	// one.
	Config []byte
	// Targets is the complete list of targets as of RosterMark. It is valid only if Listed
	// is set.
	Listed     bool
	Targets    []roster.Target
	RosterMark int64
	// Instances are all instances that the answering instance knows, itself included. Complete
	// reports that the store's list of instances, or one that includes it, is part of them.
	Instances []Instance
	Complete  bool
}

// Names of the net/rpc methods.
const (
	ServiceName    = "Mesh"
	methodExchange = ServiceName + ".Exchange"
	methodSnapshot = ServiceName + ".Snapshot"
	methodNotify   = ServiceName + ".Notify"
)
