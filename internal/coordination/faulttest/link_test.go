package faulttest

import (
	"context"
	"slices"
	"sync"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// point is a place in an operation at which a fault can be injected.
type point string

// The points. atDispatch and atAnswer belong to the run of an item or call at a
// target, the others to operations on the log.
const (
	atUpload      point = "upload"
	atAccept      point = "accept"
	atAcknowledge point = "acknowledge"
	atClaim       point = "claim"
	atDispatch    point = "dispatch"
	atAnswer      point = "answer"
	atResultData  point = "result-append"
	atResult      point = "result-record"
	atDeliver     point = "deliver"
	atCancel      point = "cancel"
	atReserve     point = "reserve"
	atStore       point = "answer-append"
	atOutcome     point = "outcome"
)

// pointsOfAppend returns the points that an append belongs to. One frame can hold
// several records, because an instance sends all pending records together.
func pointsOfAppend(stream string, payload []byte) (all []point) {
	if stream == protocol.DataStream {
		return append(all, pointOfData(payload))
	}
	if stream != protocol.ControlStream {
		return nil
	}
	frame, err := protocol.DecodeFrame(payload)
	if err != nil {
		return nil
	}
	for i := range frame.Records {
		if at := pointOfRecord(&frame.Records[i]); at != "" {
			all = append(all, at)
		}
	}
	return all
}

func pointOfRecord(rec *protocol.Record) point {
	switch {
	case rec.JobSubmit != nil:
		return atAccept
	case rec.ChunkClaim != nil:
		return atClaim
	case rec.ChunkResults != nil:
		return atResult
	case rec.JobCancel != nil:
		return atCancel
	case rec.CallReserve != nil:
		return atReserve
	case rec.CallOutcome != nil:
		return atOutcome
	}
	return ""
}

func pointOfData(payload []byte) point {
	entry, err := bulk.Decode(payload)
	switch {
	case err != nil:
		return ""
	case entry.Items != nil, entry.File != nil:
		return atUpload
	case entry.Results != nil:
		return atResultData
	case entry.Answer != nil:
		return atStore
	}
	return ""
}

// pointOfPage returns atAcknowledge if a read returns a manifest or a reservation,
// for which its submitter waits.
func pointOfPage(stream string, page external.Page) point {
	if stream != protocol.ControlStream {
		return ""
	}
	for _, entry := range page.Entries {
		all := pointsOfAppend(stream, entry.Payload)
		if slices.Contains(all, atAccept) || slices.Contains(all, atReserve) {
			return atAcknowledge
		}
	}
	return ""
}

// link connects one instance to the log and injects faults into its operations.
type link struct {
	log  external.Log
	node *node

	mu   sync.Mutex
	down bool
	// resumed is closed unless the instance is paused.
	resumed chan struct{}
}

func newLink(log external.Log) *link {
	running := make(chan struct{})
	close(running)
	return &link{log: log, resumed: running}
}

func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// pause stops the instance at its next operation, as SIGSTOP does. The operation
// neither runs nor fails until resume is called.
func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = make(chan struct{})
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.resumed)
}

// isPaused reports whether the instance is paused and so receives no messages.
func (l *link) isPaused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.resumed:
		return false
	default:
		return true
	}
}

// awaitRunning waits until the instance is not paused and reports whether the log
// is reachable.
func (l *link) awaitRunning() bool {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	select {
	case <-resumed:
	case <-l.node.ctx.Done():
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down
}

// Append implements external.Log.
func (l *link) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	if !l.awaitRunning() {
		return protocol.NoOffset, external.ErrUnavailable
	}
	offset, err := protocol.NoOffset, external.ErrUnavailable
	effect := func() {
		// The operation has left the instance, so the timeout of the instance
		// does not stop its effect.
		offset, err = l.log.Append(context.WithoutCancel(ctx), stream, payload)
	}
	if !l.node.inject(effect, pointsOfAppend(stream, payload)...) {
		return protocol.NoOffset, external.ErrUnavailable
	}
	if ctx.Err() != nil {
		return protocol.NoOffset, external.ErrUnavailable
	}
	return offset, err
}

// Read implements external.Log.
func (l *link) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	if !l.awaitRunning() {
		return external.Page{}, external.ErrUnavailable
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if !l.awaitRunning() {
		return external.Page{}, external.ErrUnavailable
	}
	at := pointOfPage(stream, page)
	if stream == protocol.DataStream && l.node.delivering.Load() {
		at = atDeliver
	}
	if !l.node.inject(func() {}, at) {
		return external.Page{}, external.ErrUnavailable
	}
	return page, err
}
