package batchjobs

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
)

// keys are what the store keeps of the partition.
func (p *place) keys() []string {
	page, err := p.store.Newest(p.t.Context(), p.at)
	require.NoError(p.t, err)
	var keys []string
	for _, record := range page.Records {
		keys = append(keys, record.Key)
	}
	return keys
}

// The store keeps the newest record of each key for good, and takes no more once
// it is full: callers would have every job refused. So a closed job leaves nothing
// behind once its time is over, and stays readable until then.
func TestClosedJobLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 3)
		p.opts.Readable = 2 * time.Minute
		h := p.hold()
		pass(time.Second)
		h.finish(done(0, "short"))
		// A result of several records.
		h.finish(done(1, strings.Repeat("x", 3*p.opts.RecordBytes)))
		h.finish(done(2, "short"))
		pass(100 * time.Second)
		p.requireEachOnce(3)
		pass(60 * time.Second)
		require.Empty(t, p.keys())
	})
}

// A job that nobody has finished yet is somebody's work, however old it is.
func TestOpenJobStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		p.opts.Readable = 2 * time.Minute
		h := p.hold()
		pass(time.Second)
		h.finish(done(0, "short"))
		pass(time.Hour)
		require.Len(t, p.listed().Results, 1)
		h.finish(done(1, "short"))
		pass(time.Second)
		require.NotEmpty(t, p.keys(), "its caller may still read it")
		pass(10 * time.Second)
		require.Empty(t, p.keys())
	})
}

// Two instances hold the partition while it is dealt anew. The one that is behind
// must not remove what the other one is writing.
func TestDropIsRefusedWhereThePartitionHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		p.opts.Readable = time.Minute
		h := newHolding(p.opts, p.at, nil)
		require.NoError(t, h.readToEnd(t.Context()))
		h.finish(done(0, "short"))
		_, err := h.listOnce(t.Context())
		require.NoError(t, err)
		pass(time.Hour)
		_, err = p.store.Append(t.Context(), p.at, []external.KeyedRecord{jobs.EncodeEnd("other")}, external.AnyEnd)
		require.NoError(t, err)
		require.NoError(t, h.drop(t.Context()))
		require.Len(t, p.listed().Results, 1)
	})
}
