package memlog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// The platform keeps entries for a limited time. A reader that lags behind the
// retention must get an error, or it would miss the entries that were dropped.
func TestReadPastRetentionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := New(Options{Retention: time.Minute})
		_, err := log.Append(t.Context(), "s", []byte("a"))
		require.NoError(t, err)
		<-time.After(2 * time.Minute)
		page, err := log.Read(t.Context(), "s", 0, 10, 0)
		require.ErrorIs(t, err, external.ErrTrimmed)
		require.EqualValues(t, 1, page.Oldest)
	})
}

// An append takes effect but its reply is lost. The caller sees a failure, and the
// entry is in the stream.
func TestLostAnswerLeavesTheEntry(t *testing.T) {
	log := New(Options{})
	log.SetFault(func(string, string, []byte) Fault { return LoseAnswer })
	_, err := log.Append(t.Context(), "s", []byte("a"))
	require.ErrorIs(t, err, external.ErrUnavailable)
	log.SetFault(nil)
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, page.Entries, 1)
}
