package journal

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// dataDuty tells the jitter of data appends from that of the other duties.
const dataDuty = 3

// AppendData implements coordination.Journal.
func (j *Journal) AppendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	if len(payload) > protocol.MaxEntryBytes {
		return protocol.NoOffset, trace.Wrap(external.ErrEntryTooLarge)
	}
	if !j.LogUp() {
		return protocol.NoOffset, trace.Wrap(ErrLogDown)
	}
	return j.appendRetrying(ctx, protocol.DataStream, payload)
}

// appendRetrying appends an entry whose second copy does no harm.
func (j *Journal) appendRetrying(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	wait := newBackoff(j.timings.BackoffBase, j.timings.BackoffMax, j.opts.Seed, dataDuty)
	for {
		j.awaitPlace(ctx)
		appendCtx, cancel := context.WithTimeout(ctx, j.timings.AppendTimeout)
		offset, err := j.log.Append(appendCtx, stream, payload)
		cancel()
		if err == nil {
			j.pacer.succeeded(time.Now())
			return offset, nil
		}
		if errors.Is(err, external.ErrThrottled) {
			counters.Add(countThrottled, 1)
			j.pacer.throttled(time.Now())
		}
		if errors.Is(err, external.ErrEntryTooLarge) || ctx.Err() != nil {
			return protocol.NoOffset, trace.Wrap(err)
		}
		pause(ctx, wait.next(), nil)
	}
}

// awaitPlace waits for the pacer, one after the other.
func (j *Journal) awaitPlace(ctx context.Context) {
	select {
	case j.pacing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-j.pacing }()
	for ctx.Err() == nil {
		wait := j.pacer.take(time.Now())
		if wait == 0 {
			return
		}
		pause(ctx, wait, nil)
	}
}

// ReadData implements coordination.Journal.
func (j *Journal) ReadData(ctx context.Context, at protocol.Offset) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, j.timings.ReadTimeout)
	defer cancel()
	page, err := j.log.Read(ctx, protocol.DataStream, at, 1, 0)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(page.Entries) == 0 || page.Entries[0].Offset != at {
		return nil, trace.NotFound("data entry %d does not exist", at)
	}
	return page.Entries[0].Payload, nil
}
