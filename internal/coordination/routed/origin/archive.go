package origin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/wait"
)

const (
	// archiveInterval is the mean interval between two checks of the summary by its writer.
	archiveInterval = 5 * time.Second
	// settleTime is how long a summary has to be in the store before the next one may leave a
	// version out: longer than streams of that version can be taken up.
	settleTime = streamLifetime + 5*time.Second
	// maxChangePages bounds the pages of changes that are read, 1 MB each.
	maxChangePages = 8
	// beyondEnd is an offset that the list of targets does not reach. A read there returns the
	// first offset that the store keeps.
	beyondEnd = 1 << 40
	// summaryKey is the key of the summary in its partition.
	summaryKey = "summary"
)

// errPastUnknown: the store has deleted changes of the list of targets that no summary contains.
var errPastUnknown = errors.New("changes of the list of targets were deleted before they were summarised")

// ArchiveOptions configure an Archive.
type ArchiveOptions struct {
	Log external.KeyedLog
	// Summaries is the partition of the summary, Targets that of the entries of targets.
	Summaries, Targets external.Partition
	// DecodeTarget decodes the entry of a target.
	DecodeTarget func(id string, value []byte) (roster.Target, error)
	// Listed returns the list of targets and its mark.
	Listed func() (list []roster.Target, mark int64)
	// Recent returns the versions at which streams may have begun a moment ago, see
	// Registry.RecentVersions.
	Recent func() VersionSet
	// IsWriter reports whether this instance writes the summary. Several writers do no harm.
	IsWriter func() bool
	Logger   log.Logger
	// Seed determines the random parts of delays. It has to differ between instances.
	Seed uint64
}

// Archive keeps in the store which software versions services have had. An instance that starts
// can't tell from the list of targets alone whether a version that has just left began streams;
// if all instances were killed, none of them can.
//
// The store keeps the changes of the list for some minutes, and may delete them at any time. A
// summary covers those up to its mark, so that the past is known if no change after the mark has
// been deleted. Archive is a background service and safe for concurrent use.
type Archive struct {
	opts   ArchiveOptions
	random *rand.Rand
	// summaryOffset is the offset of the summary that was read last, and seenAt when it was
	// first read. Only Serve uses them.
	summaryOffset int64
	seenAt        time.Time
}

// NewArchive returns an archive.
func NewArchive(opts ArchiveOptions) *Archive {
	return &Archive{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 4))}
}

// String returns the name of the background service.
func (a *Archive) String() string { return "version-archive" }

// Serve keeps the summary up to date while this instance writes it, until ctx ends.
func (a *Archive) Serve(ctx context.Context) error {
	for wait.For(ctx, wait.Jitter(a.random, archiveInterval)) {
		if !a.opts.IsWriter() {
			a.seenAt = time.Time{}
			continue
		}
		if err := a.update(ctx); err != nil {
			_ = level.Warn(a.opts.Logger).Log("event", "version_summary_failed", "err", err)
		}
	}
	return ctx.Err()
}

// update writes the next summary if it differs from the one in the store.
func (a *Archive) update(ctx context.Context) error {
	current, offset, err := a.readSummary(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if a.seenAt.IsZero() || offset != a.summaryOffset {
		a.summaryOffset, a.seenAt = offset, now
	}
	if current != nil && now.Sub(a.seenAt) < settleTime {
		return nil
	}
	// The list comes first: the changes then contain each removal that it may lack.
	list, mark := a.opts.Listed()
	if mark < current.mark() {
		return nil
	}
	since, err := a.changesSince(ctx, current.mark())
	if err != nil {
		return err
	}
	next := current.next(list, since, a.opts.Recent())
	if current.equal(next) {
		return nil
	}
	return a.write(ctx, current, next)
}

// write stores the summary that follows the current one.
func (a *Archive) write(ctx context.Context, current, next *summary) error {
	value, err := encodeSummary(next)
	if err != nil {
		return err
	}
	if _, err := a.opts.Log.Append(ctx, a.opts.Summaries, []external.KeyedRecord{{Key: summaryKey, Value: value}}, external.AnyEnd); err != nil {
		return err
	}
	_ = level.Info(a.opts.Logger).Log("event", "version_summary_written", "mark", next.Mark, "before", current.mark(),
		"versions", next.Services.String(), "incomplete", next.Incomplete)
	return nil
}

// Past returns the versions that services may have had until now, by the store. It returns an
// error if that is not known.
func (a *Archive) Past(ctx context.Context) (VersionSet, error) {
	current, _, err := a.readSummary(ctx)
	if err != nil {
		return nil, err
	}
	since, err := a.changesSince(ctx, current.mark())
	if err != nil {
		return nil, err
	}
	if since.missing || current != nil && current.Incomplete {
		return nil, errPastUnknown
	}
	past := since.versions
	if current != nil {
		past.addAll(current.Services)
	}
	return past, nil
}

// readSummary returns the summary in the store and its offset, nil if there is none.
func (a *Archive) readSummary(ctx context.Context) (*summary, int64, error) {
	page, err := a.opts.Log.Newest(ctx, a.opts.Summaries)
	if err != nil {
		return nil, 0, err
	}
	for _, record := range page.Records {
		if record.Key != summaryKey {
			continue
		}
		found, err := decodeSummary(record.Value)
		return found, record.Offset, err
	}
	return nil, 0, nil
}

// changesSince reads the changes of the list of targets from an offset on.
func (a *Archive) changesSince(ctx context.Context, from int64) (changes, error) {
	out := changes{versions: VersionSet{}, end: from}
	for range maxChangePages {
		page, err := a.opts.Log.Read(ctx, a.opts.Targets, out.end, 0)
		if errors.Is(err, external.ErrTrimmed) {
			out.missing = true
			if page, err = a.opts.Log.Read(ctx, a.opts.Targets, beyondEnd, 0); err == nil {
				out.end = page.First
				continue
			}
		}
		if err != nil {
			return changes{}, err
		}
		a.add(&out, page)
		if out.end >= page.End {
			return out, nil
		}
	}
	out.missing = true
	return out, nil
}

// add adds a page of changes.
func (a *Archive) add(out *changes, page external.KeyedPage) {
	for _, record := range page.Records {
		if len(record.Value) == 0 {
			out.removed = true
			continue
		}
		// An entry that can't be decoded names no target that is used.
		if t, err := a.opts.DecodeTarget(record.Key, record.Value); err == nil {
			out.versions.add(t.Service, t.Version, t.Domain)
		}
	}
	out.end = page.Next
}
