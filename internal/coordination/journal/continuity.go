package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// errLostEntries reports that the log no longer holds the entries that this
// instance read from it, or holds other entries at their offsets.
var errLostEntries = errors.New("the log lost entries")

// lastEntry identifies the last entry that the reader read. The reader uses it
// to detect a log that lost its most recent entries.
type lastEntry struct {
	known  bool
	offset protocol.Offset
	hash   uint64
	// unverified reports that the latest read found the end of the log before
	// this entry. The reader has to find the entry in the log again.
	unverified bool
	// replaced reports that the log holds another entry at this offset. It is
	// never reset.
	replaced bool
}

func (l *lastEntry) record(entry external.Entry) {
	l.known = true
	l.offset = entry.Offset
	l.hash = xxhash.Sum64(entry.Payload)
}

// checkContinuity returns an error if a page does not continue the entries that
// this instance has replayed.
//
// A platform that was restored from an old copy ends before the entries that
// were read from it, and assigns their offsets again. An instance that
// continued to read would treat new records as the continuation of its replayed
// entries. Its configuration and batch results would differ from those of newly
// started instances, without any error. If the log ends too early, the reader
// therefore marks its last entry as unverified until it finds the entry in the
// log again: the page may come from a replica that lags. If the log holds
// another entry at that offset, the reader stops permanently. An operator has
// to restart the instances after finding out which log is right.
func (r *reader) checkContinuity(ctx context.Context, page external.Page, from protocol.Offset) error {
	if page.Next < from {
		r.last.unverified = true
		return r.markUntrusted(fmt.Errorf("%w: it ends at offset %d, but offset %d was already read", errLostEntries, page.Next, from-1))
	}
	if r.last.replaced {
		return r.markUntrusted(errLostEntries)
	}
	if !r.last.unverified {
		return nil
	}
	return r.verifyLastEntry(ctx)
}

// verifyLastEntry checks that the log does not hold another entry at the offset
// of the last entry that was read.
func (r *reader) verifyLastEntry(ctx context.Context) error {
	if !r.last.known {
		r.last.unverified = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.timings.ReadTimeout)
	defer cancel()
	page, err := r.log.Read(ctx, protocol.ControlStream, r.last.offset, 1, 0)
	if err != nil && !errors.Is(err, external.ErrTrimmed) {
		return err
	}
	if len(page.Entries) > 0 && xxhash.Sum64(page.Entries[0].Payload) != r.last.hash {
		r.last.replaced = true
		return r.markUntrusted(fmt.Errorf("%w: the entry at offset %d differs from the one read before", errLostEntries, r.last.offset))
	}
	r.last.unverified = false
	return nil
}

func (r *reader) markUntrusted(err error) error {
	r.progress.recordBehind()
	r.status.set(err.Error())
	return err
}
