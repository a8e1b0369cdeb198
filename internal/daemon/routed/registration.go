package routed

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
)

const (
	// relistEvery is how often the list of instances is read. Instances that
	// start together find each other by asking one that they both know; reading
	// again mends only what that missed.
	relistEvery = 10 * time.Second
	// relistFirst is the same after the start, when the others start too.
	relistFirst = time.Second
	// registerRetry is the wait after a failed try.
	registerRetry = 500 * time.Millisecond
)

var instances = external.Partition{Topic: instancesTopic}

// registration is the duty that enters this instance in the store's list, reads
// who else is there, and takes off those that are lost.
type registration struct {
	daemon *Daemon
	// rounds counts the looks at the list.
	rounds int
}

// String names the duty.
func (r *registration) String() string { return "registration" }

// Serve looks at the list now and then until ctx ends.
func (r *registration) Serve(ctx context.Context) error {
	for {
		pause := relistEvery
		err := r.round(ctx)
		switch {
		case err != nil:
			_ = level.Warn(r.daemon.logger).Log("event", "registration_failed", "err", err)
			pause = registerRetry
		case r.rounds == 1:
			pause = relistFirst
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// round enters this instance, if it is not listed, and then reads the list, so
// that of two that start together at least one finds the other.
func (r *registration) round(ctx context.Context) error {
	d := r.daemon
	if r.rounds == 0 {
		if err := r.enter(ctx); err != nil {
			return err
		}
	}
	page, err := d.store.Newest(ctx, instances)
	if err != nil {
		return err
	}
	d.view.StoreAnswered()
	list := r.decode(page)
	d.mesh.AddInstances(list)
	r.rounds++
	listed := map[string]int64{}
	for _, i := range list {
		listed[i.Name] = i.Start
	}
	if listed[d.self.Name] != d.mesh.Self().Start && !d.leaving.Load() {
		if err := r.enter(ctx); err != nil {
			return err
		}
	}
	return r.remove(ctx, listed)
}

func (r *registration) enter(ctx context.Context) error {
	value, err := cbor.Marshal(r.daemon.mesh.Self())
	if err != nil {
		return err
	}
	return r.daemon.writeInstances(ctx, external.KeyedRecord{Key: r.daemon.self.Name, Value: value})
}

// remove takes instances off the list that are lost. One that is only cut off
// enters itself again.
//
// What goes wrong without it: machines that were replaced stay on the list for
// good, and each instance that starts leaves them a part of the rates.
func (r *registration) remove(ctx context.Context, listed map[string]int64) error {
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
	return r.daemon.writeInstances(ctx, records...)
}

func (r *registration) decode(page external.KeyedPage) []mesh.Instance {
	var list []mesh.Instance
	for _, record := range page.Records {
		var i mesh.Instance
		if err := cbor.Unmarshal(record.Value, &i); err != nil {
			_ = level.Warn(r.daemon.logger).Log("event", "instance_entry_unreadable", "instance", record.Key, "err", err)
			continue
		}
		list = append(list, i)
	}
	return list
}

func (d *Daemon) writeInstances(ctx context.Context, records ...external.KeyedRecord) error {
	_, err := d.store.Append(ctx, instances, records, external.AnyEnd)
	return err
}

// withdraw takes this instance off the list.
func (d *Daemon) withdraw(ctx context.Context) error {
	return d.writeInstances(ctx, external.KeyedRecord{Key: d.self.Name})
}
