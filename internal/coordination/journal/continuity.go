package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// errLostEntries: the log no longer holds what was read from it, or holds
// something else there.
var errLostEntries = errors.New("the log lost entries")

// lastEntry remembers the latest entry that was read, to notice a log that lost
// its end.
type lastEntry struct {
	known bool
	at    protocol.Offset
	sum   uint64
	// doubted says that the log ended before the entry when last read.
	doubted bool
	// lost is set for good once another entry stood in its place.
	lost bool
}

func (l *lastEntry) note(entry external.Entry) {
	l.known = true
	l.at = entry.Offset
	l.sum = xxhash.Sum64(entry.Payload)
}

// sameLog reports whether a page continues what was replayed.
//
// A platform that was restored from an old copy ends before the entries that
// were read from it, and gives their offsets out again. An instance that read
// on would take new records for the continuation of what it had replayed: its
// configuration and batch results would differ from those of instances that
// start afresh, and nobody would notice. So a log that ends too early is
// doubted until the last entry that was read is seen in it again, since it may
// only be a copy that lags. If another entry stands there, the reader stops for
// good; an operator has to restart the instances once it is clear which log is
// right.
func (r *reader) sameLog(ctx context.Context, page external.Page, from protocol.Offset) error {
	if page.Next < from {
		r.last.doubted = true
		return r.distrust(fmt.Errorf("%w: it ends at %d although %d was read", errLostEntries, page.Next, from-1))
	}
	if r.last.lost {
		return r.distrust(errLostEntries)
	}
	if !r.last.doubted {
		return nil
	}
	return r.compare(ctx)
}

// compare looks whether the last entry that was read still stands in the log.
func (r *reader) compare(ctx context.Context) error {
	if !r.last.known {
		r.last.doubted = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.timings.ReadTimeout)
	defer cancel()
	page, err := r.log.Read(ctx, protocol.ControlStream, r.last.at, 1, 0)
	if err != nil && !errors.Is(err, external.ErrTrimmed) {
		return err
	}
	if len(page.Entries) > 0 && xxhash.Sum64(page.Entries[0].Payload) != r.last.sum {
		r.last.lost = true
		return r.distrust(fmt.Errorf("%w: entry %d is another than was read", errLostEntries, r.last.at))
	}
	r.last.doubted = false
	return nil
}

func (r *reader) distrust(err error) error {
	r.progress.behind()
	r.status.set(err.Error())
	return err
}
