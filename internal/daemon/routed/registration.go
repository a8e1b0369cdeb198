package routed

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/mesh"
	"merlintiller/internal/external"
)

const (
	// relistEvery is how often the list of instances is read. A new instance
	// finds the others there and tells them of itself at once; reading again
	// mends only what that missed.
	relistEvery = 10 * time.Second
	// registerRetry is the wait after a failed try.
	registerRetry = 500 * time.Millisecond
)

var instances = external.Partition{Topic: instancesTopic}

// registration is the duty that enters this instance in the store's list and
// reads who else is there.
type registration struct {
	daemon *Daemon
}

// String names the duty.
func (r *registration) String() string { return "registration" }

// Serve registers once and reads the list now and then until ctx ends.
func (r *registration) Serve(ctx context.Context) error {
	registered := false
	for {
		pause := relistEvery
		if err := r.round(ctx, &registered); err != nil {
			_ = level.Warn(r.daemon.logger).Log("event", "registration_failed", "registered", registered, "err", err)
			pause = registerRetry
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

func (r *registration) round(ctx context.Context, registered *bool) error {
	d := r.daemon
	page, err := d.store.Newest(ctx, instances)
	if err != nil {
		return err
	}
	d.view.StoreAnswered()
	d.mesh.Listed(r.decode(page))
	if *registered {
		return nil
	}
	value, err := cbor.Marshal(d.self)
	if err != nil {
		return err
	}
	record := external.KeyedRecord{Key: d.self.Name, Value: value}
	if _, err := d.store.Append(ctx, instances, []external.KeyedRecord{record}, external.AnyEnd); err != nil {
		return err
	}
	*registered = true
	return nil
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

// withdraw takes this instance off the list.
func (d *Daemon) withdraw(ctx context.Context) error {
	record := external.KeyedRecord{Key: d.self.Name}
	_, err := d.store.Append(ctx, instances, []external.KeyedRecord{record}, external.AnyEnd)
	return err
}
