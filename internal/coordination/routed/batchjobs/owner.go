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
	// joinEvery is how often the instance tells the group that it is there, and
	// patience the silence after which its partitions go to others. A shorter
	// patience would deal them anew for each pause; a longer one would leave
	// items of a dead instance waiting, whose results are due within seconds.
	joinInterval        = 400 * time.Millisecond
	groupSilenceTimeout = 1500 * time.Millisecond
)

// PartitionOwner holds partitions of jobs for as long as the group deals them to this
// instance. It is a duty.
type PartitionOwner struct {
	opts   *Options
	runner *Runner

	mu         sync.Mutex
	generation int64
	owned      map[int]*ownedPartition
	leaving    bool
	// hasLost says that a partition went to another instance in this life.
	hasLostPartition bool
}

// held is a partition with the end of its duties.
type ownedPartition struct {
	*partitionReplica
	stop context.CancelFunc
}

// NewPartitionOwner returns a keeper that holds nothing.
func NewPartitionOwner(opts *Options, runner *Runner) *PartitionOwner {
	o := &PartitionOwner{opts: opts, runner: runner, owned: map[int]*ownedPartition{}}
	runner.replicaOf = o.replicaOf
	return o
}

// String names the duty.
func (o *PartitionOwner) String() string { return "jobs-keeper" }

// Serve stays in the group until ctx ends.
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
		Patience: groupSilenceTimeout, Generation: o.generation,
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

// giveWay lets go of partitions that others say they hold since a later dealing.
// While the whole store is away nothing is dealt, and what is held is kept.
//
// What goes wrong without it: the store turns only this instance away and deals
// its partitions to others. Both would run the items, and this one would not hear
// of the end of a job.
func (o *PartitionOwner) releaseReassigned() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number := range o.owned {
		if other, ok := o.opts.Peers.Holder(number); ok && other.Beat.Generation > o.generation {
			_ = level.Info(o.opts.Logger).Log("event", "jobs_given_way", "partition", number, "holder", other.Name,
				"generation", other.Beat.Generation, "own", o.generation)
			o.release(number)
		}
	}
}

// keep starts holding what is new and ends holding what is not assigned.
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

// end ends the holding of a partition. It needs the lock.
func (o *PartitionOwner) release(number int) {
	p := o.owned[number]
	p.stop()
	o.runner.releaseItems(p.partitionReplica)
	delete(o.owned, number)
	o.hasLostPartition = true
}

func (o *PartitionOwner) acquire(ctx context.Context, p external.Partition) {
	ctx, stop := context.WithCancel(ctx)
	replica := newPartitionReplica(o.opts, p, o.runner.syncItems)
	replica.onPartialOutput, replica.unstored = o.runner.adoptPartialOutput, o.runner.unstoredSegments
	o.owned[p.Number] = &ownedPartition{partitionReplica: replica, stop: stop}
	go replica.serve(ctx)
}

// Owned gives the partitions held and the generation in which they were dealt.
func (o *PartitionOwner) Owned() (partitions []int, generation int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number := range o.owned {
		partitions = append(partitions, number)
	}
	slices.Sort(partitions)
	return partitions, o.generation
}

// HasLostPartition says whether a partition went to another instance in this life.
func (o *PartitionOwner) HasLostPartition() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasLostPartition
}

// holding gives a partition that is held here.
func (o *PartitionOwner) replicaOf(number int) (*partitionReplica, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.owned[number]
	if p == nil {
		return nil, false
	}
	return p.partitionReplica, true
}

// Leave gives all partitions to the others.
func (o *PartitionOwner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	if err := o.opts.Groups.Leave(ctx, o.member()); err != nil {
		_ = level.Warn(o.opts.Logger).Log("event", "jobs_leave_failed", "err", err)
	}
	o.reconcile(ctx, nil)
}
