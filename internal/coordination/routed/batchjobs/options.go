package batchjobs

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// Peers gives access to the other instances.
type Peers interface {
	// Self returns this instance, Peers the others.
	Self() mesh.Instance
	Peers() []mesh.Peer
	OwnerOf(partition int) (mesh.Peer, bool)
	// Claims returns the items that reachable instances run for other owners.
	Claims() []mesh.Claim
}

// Placer chooses targets.
type Placer interface {
	// Domains returns the failure domains that have targets. PlaceItem returns a
	// target in one of them, and waits for a slot for a limited time.
	Domains() []string
	PlaceItem(ctx context.Context, domain string, item broker.Item) (placement.Choice, bool)
	// HasTargets reports whether any listed target may be used, regardless of its load and
	// health.
	HasTargets(placement.Requirements) bool
	// SetRunID records the id under which a target runs an item.
	SetRunID(choice placement.Choice, id string)
	// SetProgress records how long a running item still needs, and how long its output takes to
	// produce again that is not stored yet.
	SetProgress(choice placement.Choice, needs, unstored time.Duration)
	Done(placement.Choice, placement.Result)
	ReportLoad(choice placement.Choice, load *exchange.Load)
	DataReceived(id string)
}

// Quarantine decides which items may go to targets.
type Quarantine interface {
	// Closed reports whether an item has to wait.
	Closed(quarantine.Request) bool
	// Check decides whether an item may go to a target now.
	Check(quarantine.Request) quarantine.Decision
	// Began records that a target sent the first event of an item, Completed that it sent all of
	// them, and Lost that it closed the connection before.
	Began(quarantine.Request)
	Completed(quarantine.Request)
	Lost(quarantine.LostRequest)
	// Left records that this instance ended the run of an item at a target that was silent.
	Left(quarantine.LostRequest)
	// CatchUp returns once it is known what others decided while this process did not run, or ctx is done.
	CatchUp(ctx context.Context)
	// TrialEnded records that a trial ended without any of these, after targets had worked on the item for some time
	// since its last end.
	TrialEnded(item quarantine.Request, ran time.Duration)
	// Ends returns the number of targets that ended under an item, and when the last one did.
	Ends(quarantine.Request) (count int, last time.Time)
	// PossibleEnds returns the number of targets that ended under an item, or may turn out to have ended.
	PossibleEnds(quarantine.Request) int
}

// Options are the settings and dependencies of JobService, PartitionOwner and Runner.
type Options struct {
	// Member names the instance in the group. The name stays the same in each incarnation.
	// So an instance that is killed and restarted gets its partitions at once, and not only
	// when the membership of its former incarnation has timed out.
	Member string
	// Topic and Partitions name the topic of the jobs and its number of partitions;
	// Group is the group whose members the partitions are assigned to.
	Topic      string
	Partitions int
	Group      string
	// RecordBytes and CallBytes are the store's limits on the size of one record and
	// on the records of one append.
	RecordBytes, CallBytes int

	// Readable is how long a job can be read, counted from its submission.
	Readable time.Duration

	Log    external.KeyedLog
	Groups external.Groups
	Peers  Peers
	Caller protocol.Caller
	// Table returns the configuration in force, StoreAge the time since the store last
	// answered. StoreAnswered records that it did.
	Table         func() *route.Table
	StoreAge      func() time.Duration
	StoreAnswered func()
	Targets       external.Sender
	Placer        Placer
	// OnlyVersion returns the software version of a service if it has had no other one for
	// longer than a run lasts.
	OnlyVersion func(service string) (string, bool)
	// SharedParts returns the ids of the parts of an item's prompt that other requests may share,
	// from the item's headers.
	SharedParts func(header map[string]string) []string
	Quarantine  Quarantine
	// Incarnations may be nil: the listed processes of targets run.
	Incarnations placement.Incarnations
	// InFlight replicates the runs to another instance. Nil: they are known to this instance only.
	InFlight InFlight
	Logger   log.Logger
}

// partitionOf returns the partition of a job.
func (o *Options) partitionOf(job string) external.Partition {
	return external.Partition{Topic: o.Topic, Number: int(xxhash.Sum64String(job) % uint64(o.Partitions))}
}
