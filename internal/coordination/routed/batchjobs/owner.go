package batchjobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
)

const (
	// joinInterval is how often the instance renews its membership of the group;
	// groupSilenceTimeout is the time without a renewal after which its partitions
	// are assigned to others. A shorter timeout would reassign them on each pause
	// of the process. A longer one would delay the items of a dead instance, whose
	// results are due within seconds.
	joinInterval        = 400 * time.Millisecond
	groupSilenceTimeout = 1500 * time.Millisecond
)

// PartitionOwner owns the partitions of jobs that the group assigns to this instance.
// It is a background service.
type PartitionOwner struct {
	opts   *Options
	runner *Runner

	mu         sync.Mutex
	generation int64
	owned      map[int]*ownedPartition
	leaving    bool
	// hasLostPartition says that this instance has released a partition in this
	// incarnation.
	hasLostPartition bool
}

// ownedPartition is the replica of an owned partition. stop ends its background
// goroutines.
type ownedPartition struct {
	*partitionReplica
	stop context.CancelFunc
}

// NewPartitionOwner returns a PartitionOwner without partitions.
func NewPartitionOwner(opts *Options, runner *Runner) *PartitionOwner {
	o := &PartitionOwner{opts: opts, runner: runner, owned: map[int]*ownedPartition{}}
	runner.replicaOf = o.replicaOf
	return o
}

// String is the name of the background service.
func (o *PartitionOwner) String() string { return "jobs-keeper" }

// Serve renews the membership of the group until ctx ends, then releases all
// partitions.
func (o *PartitionOwner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		o.join(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			o.reconcile(ctx, nil)
			return ctx.Err()
		}
	}
}

func (o *PartitionOwner) member() external.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	return external.Member{
		Group: o.opts.Group, Name: o.opts.Member, Topics: []string{o.opts.Topic},
		SessionTimeout: groupSilenceTimeout, Generation: o.generation,
	}
}

func (o *PartitionOwner) join(ctx context.Context) {
	o.mu.Lock()
	leaving := o.leaving
	o.mu.Unlock()
	if leaving {
		return
	}
	assignment, err := o.opts.Groups.Join(ctx, o.member())
	if err != nil {
		_ = level.Warn(o.opts.Logger).Log("event", "jobs_join_failed", "err", err)
		o.releaseReassigned()
		return
	}
	o.opts.StoreAnswered()
	o.mu.Lock()
	leaving = o.leaving
	before := o.generation
	o.generation = assignment.Generation
	o.mu.Unlock()
	if leaving {
		return
	}
	if before != assignment.Generation {
		_ = level.Info(o.opts.Logger).Log("event", "jobs_dealt", "generation", assignment.Generation, "before", before,
			"partitions", len(assignment.Partitions))
	}
	o.reconcile(ctx, assignment.Partitions)
}

// releaseReassigned releases partitions that other instances report as theirs under
// a later generation. While no instance reaches the store, nothing is reassigned and
// partitions are kept.
//
// It is needed when the store rejects only this instance and assigns its partitions to
// others. Otherwise both owners would run the items, and this one would not learn that a
// job was cancelled.
func (o *PartitionOwner) releaseReassigned() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number := range o.owned {
		if other, ok := o.opts.Peers.OwnerOf(number); ok && other.Heartbeat.Generation > o.generation {
			_ = level.Info(o.opts.Logger).Log("event", "jobs_given_way", "partition", number, "holder", other.Name,
				"generation", other.Heartbeat.Generation, "own", o.generation)
			o.release(number)
		}
	}
}

// reconcile acquires the partitions that are newly assigned and releases those that
// are no longer assigned.
func (o *PartitionOwner) reconcile(ctx context.Context, partitions []external.Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	assigned := map[int]bool{}
	for _, p := range partitions {
		if p.Topic != o.opts.Topic {
			continue
		}
		assigned[p.Number] = true
		if o.owned[p.Number] == nil {
			o.acquire(ctx, p)
		}
	}
	for number := range o.owned {
		if !assigned[number] {
			o.release(number)
		}
	}
}

// release ends the ownership of a partition. The caller holds the lock.
func (o *PartitionOwner) release(number int) {
	p := o.owned[number]
	p.stop()
	o.runner.releaseItems(p.partitionReplica)
	delete(o.owned, number)
	o.hasLostPartition = true
}

// acquire begins the ownership of a partition. The caller holds the lock.
func (o *PartitionOwner) acquire(ctx context.Context, p external.Partition) {
	ctx, stop := context.WithCancel(ctx)
	replica := newPartitionReplica(o.opts, p, o.runner.syncItems)
	replica.owned = true
	replica.onPartialOutput, replica.unstored = o.runner.adoptPartialOutput, o.runner.unstoredSegments
	o.owned[p.Number] = &ownedPartition{partitionReplica: replica, stop: stop}
	go replica.serve(ctx)
}

// Owned returns the owned partitions and the generation in which they were assigned.
func (o *PartitionOwner) Owned() (partitions []int, generation int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number := range o.owned {
		partitions = append(partitions, number)
	}
	slices.Sort(partitions)
	return partitions, o.generation
}

// HasLostPartition says whether this instance has released a partition in this
// incarnation.
func (o *PartitionOwner) HasLostPartition() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasLostPartition
}

// replicaOf returns the replica of a partition that this instance owns.
func (o *PartitionOwner) replicaOf(number int) (*partitionReplica, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.owned[number]
	if p == nil {
		return nil, false
	}
	return p.partitionReplica, true
}

// Leave leaves the group, so that all partitions go to other instances.
func (o *PartitionOwner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	if err := o.opts.Groups.Leave(ctx, o.member()); err != nil {
		_ = level.Warn(o.opts.Logger).Log("event", "jobs_leave_failed", "err", err)
	}
	o.reconcile(ctx, nil)
}
