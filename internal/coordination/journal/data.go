package journal

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// dataBackoffStream is the random stream for the jitter of data appends. The
// reader uses stream 1, the writer streams 2 and 4.
const dataBackoffStream = 3

// AppendData implements coordination.Journal.
func (j *Journal) AppendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	if len(payload) > protocol.MaxEntryBytes {
		return protocol.NoOffset, trace.Wrap(external.ErrEntryTooLarge)
	}
	if !j.LogUp() {
		return protocol.NoOffset, trace.Wrap(ErrLogDown)
	}
	return j.appendWithRetry(ctx, protocol.DataStream, payload)
}

// appendWithRetry appends an entry and retries until it succeeds. It is only
// for entries that may be stored twice without harm.
func (j *Journal) appendWithRetry(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	wait := newBackoff(j.timings.BackoffBase, j.timings.BackoffMax, j.opts.Seed, dataBackoffStream)
	for {
		j.awaitPacer(ctx)
		appendCtx, cancel := context.WithTimeout(ctx, j.timings.AppendTimeout)
		offset, err := j.log.Append(appendCtx, stream, payload)
		cancel()
		if err == nil {
			j.pacer.onSuccess(time.Now())
			return offset, nil
		}
		if errors.Is(err, external.ErrThrottled) {
			counters.Add(countThrottled, 1)
			j.pacer.onThrottled(time.Now())
		}
		if errors.Is(err, external.ErrEntryTooLarge) || ctx.Err() != nil {
			return protocol.NoOffset, trace.Wrap(err)
		}
		pause(ctx, wait.next(), nil)
	}
}

// awaitPacer waits until the pacer permits an append. Callers wait one after
// another.
func (j *Journal) awaitPacer(ctx context.Context) {
	select {
	case j.pacerTurn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-j.pacerTurn }()
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
