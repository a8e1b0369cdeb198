package batchjobs

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// Peers are the other instances.
type Peers interface {
	Peers() []mesh.Peer
	OwnerOf(partition int) (mesh.Peer, bool)
	// Claims are the items that instances which are heard run for others.
	Claims() []mesh.Claim
}

// Placer chooses targets.
type Placer interface {
	// Domains are the failure domains that have targets. PlaceItem gives a target
	// in one of them, and waits a while for a slot.
	Domains() []string
	PlaceItem(ctx context.Context, domain string, item broker.Item) (placement.Choice, bool)
	// Runs notes under which id a target runs an item.
	Runs(choice placement.Choice, id string)
	Done(placement.Choice, placement.Result)
	Told(choice placement.Choice, load *exchange.Load)
	Heard(id string)
}

// Options make a Desk and its duties.
type Options struct {
	// Member names the instance in the group. It is the same in each life: one that is
	// killed and starts again has its partitions at once, and not only after the
	// silence that gives those of its former life to others.
	Member string
	// Topic and Partitions say where the jobs stand, Group who deals them.
	Topic      string
	Partitions int
	Group      string
	// RecordBytes and CallBytes are the store's bounds on one record and on the
	// records of one append.
	RecordBytes, CallBytes int

	// Readable is how long a job can be read, counted from its submission.
	Readable time.Duration

	Log    external.KeyedLog
	Groups external.Groups
	Peers  Peers
	Caller protocol.Caller
	// Table is the configuration in force, StoreAge the time since the store
	// answered, StoreAnswered notes that it did.
	Table         func() *route.Table
	StoreAge      func() time.Duration
	StoreAnswered func()
	Targets       external.Sender
	Placer        Placer
	Logger        log.Logger
}

// partitionOf gives the partition of a job.
func (o *Options) partitionOf(job string) external.Partition {
	return external.Partition{Topic: o.Topic, Number: int(xxhash.Sum64String(job) % uint64(o.Partitions))}
}
