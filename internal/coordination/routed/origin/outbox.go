package origin

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// tellTimeout bounds a call with records.
	tellTimeout = 200 * time.Millisecond
	// maxPending bounds the records that wait for one instance.
	maxPending = 1 << 10
)

// outbox holds the records that wait to be sent to one instance. Those that are added while a
// call is in flight go with the next one.
type outbox struct {
	pending []pendingRecord
	sending bool
}

type pendingRecord struct {
	stream, version string
	begunAt         time.Time
}

// tell sends a record to its holders. The caller must hold r.mu.
func (r *Registry) tell(now time.Time, stream string, told *record) {
	for _, holder := range r.others(toldHolders(r.instances(), stream, r.opts.Self.Domain)) {
		box := r.outboxes[holder.Address]
		if box == nil {
			box = &outbox{}
			r.outboxes[holder.Address] = box
		}
		told.told = true
		if len(box.pending) >= maxPending {
			recordsDropped.Inc()
			continue
		}
		box.pending = append(box.pending, pendingRecord{stream, told.version, told.begunAt})
		if !box.sending {
			box.sending = true
			go r.flush(holder.Address, box)
		}
	}
}

// flush sends the records of an outbox until none are left.
func (r *Registry) flush(address string, box *outbox) {
	for {
		args := r.takePending(address, box)
		if args == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		err := r.opts.Caller.Call(ctx, address, methodTell, args, &struct{}{})
		cancel()
		r.markSent(args.Records, err == nil)
		if err != nil {
			r.markIfUnable(address, err)
			tellsFailed.Inc()
			_ = level.Info(r.opts.Logger).Log("event", "stream_origins_not_told", "peer", address, "records", len(args.Records), "err", err)
			continue
		}
		recordsTold.Add(len(args.Records))
	}
}

// markSent records whether an instance has acknowledged records.
func (r *Registry) markSent(records []Record, acknowledged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sent := range records {
		r.records.sent(sent.Stream, acknowledged)
	}
}

// takePending takes the records of an outbox, nil if there are none. The outbox is then
// removed: it would stay when its instance is gone for good.
func (r *Registry) takePending(address string, box *outbox) *TellArgs {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(box.pending) == 0 {
		delete(r.outboxes, address)
		return nil
	}
	args := &TellArgs{Records: make([]Record, len(box.pending))}
	for i, p := range box.pending {
		args.Records[i] = Record{Stream: p.stream, Version: p.version, Age: now.Sub(p.begunAt)}
	}
	box.pending = box.pending[:0]
	return args
}
