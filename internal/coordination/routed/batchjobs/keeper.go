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
	joinEvery = 400 * time.Millisecond
	patience  = 1500 * time.Millisecond
)

// Keeper holds partitions of jobs for as long as the group deals them to this
// instance. It is a duty.
type Keeper struct {
	opts   *Options
	runner *Runner

	mu         sync.Mutex
	generation int64
	held       map[int]*held
	leaving    bool
	// hasLost says that a partition went to another instance in this life.
	hasLost bool
}

// held is a partition with the end of its duties.
type held struct {
	*holding
	stop context.CancelFunc
}

// NewKeeper returns a keeper that holds nothing.
func NewKeeper(opts *Options, runner *Runner) *Keeper {
	k := &Keeper{opts: opts, runner: runner, held: map[int]*held{}}
	runner.local = k.holding
	return k
}

// String names the duty.
func (k *Keeper) String() string { return "jobs-keeper" }

// Serve stays in the group until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		k.join(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			k.keep(ctx, nil)
			return ctx.Err()
		}
	}
}

func (k *Keeper) member() external.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return external.Member{
		Group: k.opts.Group, Name: k.opts.Member, Topics: []string{k.opts.Topic},
		Patience: patience, Generation: k.generation,
	}
}

func (k *Keeper) join(ctx context.Context) {
	k.mu.Lock()
	leaving := k.leaving
	k.mu.Unlock()
	if leaving {
		return
	}
	assignment, err := k.opts.Groups.Join(ctx, k.member())
	if err != nil {
		_ = level.Warn(k.opts.Logger).Log("event", "jobs_join_failed", "err", err)
		k.giveWay()
		return
	}
	k.opts.StoreAnswered()
	k.mu.Lock()
	leaving = k.leaving
	before := k.generation
	k.generation = assignment.Generation
	k.mu.Unlock()
	if leaving {
		return
	}
	if before != assignment.Generation {
		_ = level.Info(k.opts.Logger).Log("event", "jobs_dealt", "generation", assignment.Generation, "before", before,
			"partitions", len(assignment.Partitions))
	}
	k.keep(ctx, assignment.Partitions)
}

// giveWay lets go of partitions that others say they hold since a later dealing.
// While the whole store is away nothing is dealt, and what is held is kept.
//
// What goes wrong without it: the store turns only this instance away and deals
// its partitions to others. Both would run the items, and this one would not hear
// of the end of a job.
func (k *Keeper) giveWay() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number := range k.held {
		if other, ok := k.opts.Peers.OwnerOf(number); ok && other.Heartbeat.Generation > k.generation {
			_ = level.Info(k.opts.Logger).Log("event", "jobs_given_way", "partition", number, "holder", other.Name,
				"generation", other.Heartbeat.Generation, "own", k.generation)
			k.end(number)
		}
	}
}

// keep starts holding what is new and ends holding what is not listed.
func (k *Keeper) keep(ctx context.Context, partitions []external.Partition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	listed := map[int]bool{}
	for _, p := range partitions {
		if p.Topic != k.opts.Topic {
			continue
		}
		listed[p.Number] = true
		if k.held[p.Number] == nil {
			k.start(ctx, p)
		}
	}
	for number := range k.held {
		if !listed[number] {
			k.end(number)
		}
	}
}

// end ends the holding of a partition. It needs the lock.
func (k *Keeper) end(number int) {
	h := k.held[number]
	h.stop()
	k.runner.drop(h.holding)
	delete(k.held, number)
	k.hasLost = true
}

func (k *Keeper) start(ctx context.Context, p external.Partition) {
	ctx, stop := context.WithCancel(ctx)
	h := newHolding(k.opts, p, k.runner.refresh)
	h.onPart, h.pieces = k.runner.partCame, k.runner.unkept
	k.held[p.Number] = &held{holding: h, stop: stop}
	go h.serve(ctx)
}

// Holding gives the partitions held and the generation in which they were dealt.
func (k *Keeper) Holding() (partitions []int, generation int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number := range k.held {
		partitions = append(partitions, number)
	}
	slices.Sort(partitions)
	return partitions, k.generation
}

// HasLost says whether a partition went to another instance in this life.
func (k *Keeper) HasLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasLost
}

// holding gives a partition that is held here.
func (k *Keeper) holding(number int) (*holding, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.held[number]
	if h == nil {
		return nil, false
	}
	return h.holding, true
}

// Leave gives all partitions to the others.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	if err := k.opts.Groups.Leave(ctx, k.member()); err != nil {
		_ = level.Warn(k.opts.Logger).Log("event", "jobs_leave_failed", "err", err)
	}
	k.keep(ctx, nil)
}
