package routed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// listInterval is the mean interval between two reads of the list of instances. Instances
	// that start together discover each other through an instance that both know; further
	// reads only find instances that this missed.
	listInterval = 10 * time.Second
	// secondReadDelay is the delay between the first and the second read, when other
	// instances may be starting too.
	secondReadDelay = time.Second
	// minRetryDelay is the delay after the first failed read or write. It doubles with
	// each further failure: the list has an entry for each instance, so the reads of all
	// instances together grow with the square of their number and can keep a busy store
	// overloaded. listInterval, or one of the next two constants, bounds it.
	minRetryDelay = 500 * time.Millisecond
	// maxUnlistedDelay bounds the delay while this instance is not listed. Others do not
	// know it until then, and the write is small.
	maxUnlistedDelay = time.Second
	// maxAloneDelay bounds the delay while this instance knows no other one.
	maxAloneDelay = 2 * time.Second
)

var instancesPartition = external.Partition{Topic: instancesTopic}

// registration is the background service that adds this instance to the list of
// instances in the store, reads the other entries, and removes dead instances.
type registration struct {
	daemon *Daemon
	// random draws the jitter of delays. Instances that start together, or whose reads fail
	// together, would otherwise go on reading at the same times.
	random *rand.Rand
	// listed is set once this instance has added itself, reads counts the successful reads
	// of the list, and failures those that failed since.
	listed          bool
	reads, failures int
}

func newRegistration(d *Daemon) *registration {
	return &registration{daemon: d, random: rand.New(rand.NewPCG(xxhash.Sum64String(d.self.Name), 3))}
}

// String returns the name of the service for the supervisor.
func (r *registration) String() string { return "registration" }

// Serve reads the list every listInterval until ctx ends.
func (r *registration) Serve(ctx context.Context) error {
	for {
		pause := r.pauseAfter(r.refresh(ctx))
		if !wait.For(ctx, wait.Jitter(r.random, pause)) {
			return ctx.Err()
		}
	}
}

// pauseAfter returns the mean delay after a call of refresh with this result.
func (r *registration) pauseAfter(err error) time.Duration {
	if err != nil {
		_ = level.Warn(r.daemon.logger).Log("event", "registration_failed", "err", err)
		r.failures++
		return r.retryDelay()
	}
	r.failures = 0
	if r.reads == 1 {
		return secondReadDelay
	}
	return listInterval
}

// retryDelay returns the mean delay after the last of a number of failures in a row.
func (r *registration) retryDelay() time.Duration {
	longest := r.longestRetryDelay()
	delay := minRetryDelay
	for n := 1; n < r.failures && delay < longest; n++ {
		delay *= 2
	}
	return min(delay, longest)
}

func (r *registration) longestRetryDelay() time.Duration {
	switch {
	case !r.listed:
		return maxUnlistedDelay
	case len(r.daemon.mesh.Peers()) == 0:
		return maxAloneDelay
	default:
		return listInterval
	}
}

// refresh adds this instance if it is not listed, and reads the list. At the start it
// writes before it reads, so that of two instances that start together at least one
// finds the other. The list is read even if the write failed: without it this instance
// does not know how many others there are.
func (r *registration) refresh(ctx context.Context) error {
	var notAdded error
	if !r.listed && !r.daemon.leaving.Load() {
		notAdded = r.addOwnEntry(ctx)
	}
	if err := r.readList(ctx); err != nil {
		return err
	}
	return notAdded
}

// readList reads the list, and removes dead instances from it.
func (r *registration) readList(ctx context.Context) error {
	d := r.daemon
	page, err := d.store.Newest(ctx, instancesPartition)
	if err != nil {
		return err
	}
	d.view.StoreAnswered()
	list := r.decodeInstances(page)
	d.mesh.AddInstances(list, true)
	r.reads++
	listed := map[string]int64{}
	for _, i := range list {
		listed[i.Name] = i.Start
	}
	if r.listed && listed[d.self.Name] != d.mesh.Self().Start && !d.leaving.Load() {
		if err := r.addOwnEntry(ctx); err != nil {
			return err
		}
	}
	return r.removeDead(ctx, listed)
}

func (r *registration) addOwnEntry(ctx context.Context) error {
	value, err := cbor.Marshal(r.daemon.mesh.Self())
	if err != nil {
		return err
	}
	err = r.daemon.writeInstanceRecords(ctx, external.KeyedRecord{Key: r.daemon.self.Name, Value: value})
	r.listed = err == nil
	return err
}

// removeDead removes the entries of instances that are presumed dead. An instance that
// was only isolated adds itself again.
//
// Without the removal, replaced machines would stay on the list for good, and each
// instance that starts would reserve a share of the rates for them.
func (r *registration) removeDead(ctx context.Context, listed map[string]int64) error {
	var records []external.KeyedRecord
	for _, i := range r.daemon.mesh.PresumedDead() {
		if start, ok := listed[i.Name]; ok && start == i.Start {
			records = append(records, external.KeyedRecord{Key: i.Name})
		}
	}
	if len(records) == 0 {
		return nil
	}
	_ = level.Info(r.daemon.logger).Log("event", "instances_removed", "instances", len(records))
	return r.daemon.writeInstanceRecords(ctx, records...)
}

func (r *registration) decodeInstances(page external.KeyedPage) []mesh.Instance {
	var list []mesh.Instance
	for _, record := range page.Records {
		var i mesh.Instance
		if err := protocol.UnmarshalOpaque(record.Value, &i); err != nil {
			_ = level.Warn(r.daemon.logger).Log("event", "instance_entry_unreadable", "instance", record.Key, "err", err)
			continue
		}
		list = append(list, i)
	}
	return list
}

func (d *Daemon) writeInstanceRecords(ctx context.Context, records ...external.KeyedRecord) error {
	_, err := d.store.Append(ctx, instancesPartition, records, external.AnyEnd)
	return err
}

// removeOwnEntry removes this instance from the list.
func (d *Daemon) removeOwnEntry(ctx context.Context) error {
	return d.writeInstanceRecords(ctx, external.KeyedRecord{Key: d.self.Name})
}
