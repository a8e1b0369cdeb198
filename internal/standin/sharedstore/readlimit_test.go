package sharedstore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// readAnswer is the answer to one read.
type readAnswer struct {
	status int
	took   time.Duration
}

// read makes one call that reads. The caller gives up after the given time.
func (e *Endpoint) read(path string, patience time.Duration) readAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	start := time.Now()
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody))
	return readAnswer{recorder.Code, time.Since(start)}
}

const (
	readPath   = "/log-read?topic=keyed.a&part=0&from=0"
	newestPath = "/log-newest?topic=keyed.a&part=0"
)

// newStoreWithRecord returns a store whose only record has about the given size.
func newStoreWithRecord(size int) *Store {
	store := New(1)
	store.Put("keyed.a", "key", bytes.Repeat([]byte{'x'}, size))
	return store
}

// newLimitedStore returns a store that sends its only record in about a second.
func newLimitedStore() *Store {
	store := newStoreWithRecord(100_000)
	store.SetReadBytesPerSecond(100_000)
	return store
}

func requireAbout(t *testing.T, expected, got time.Duration) {
	t.Helper()
	require.InDelta(t, expected.Seconds(), got.Seconds(), 0.01)
}

func TestReadsAreNotLimitedByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newStoreWithRecord(100_000).NewEndpoint()
		for range 10 {
			require.Equal(t, readAnswer{status: http.StatusOK}, e.read(readPath, time.Minute))
		}
	})
}

func TestReadsOfAllEndpointsShareTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLimitedStore()
		one, other := store.NewEndpoint(), store.NewEndpoint()
		first := make(chan readAnswer, 1)
		go func() { first <- one.read(readPath, time.Minute) }()
		synctest.Wait()
		second := other.read(readPath, time.Minute)
		require.Equal(t, http.StatusOK, second.status)
		requireAbout(t, time.Second, (<-first).took)
		requireAbout(t, 2*time.Second, second.took)
	})
}

func TestNewestTakesTheTimeOfItsEncodedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := newLimitedStore().NewEndpoint().read(newestPath, time.Minute)
		require.Equal(t, http.StatusOK, got.status)
		requireAbout(t, 4*time.Second/3, got.took)
	})
}

func TestReadIsRefusedAtOnceBehindLongBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLimitedStore().NewEndpoint()
		for range 2 {
			go e.read(readPath, time.Minute)
		}
		synctest.Wait()
		for _, path := range []string{readPath, newestPath} {
			require.Equal(t, readAnswer{status: http.StatusServiceUnavailable}, e.read(path, time.Minute))
		}
		require.Equal(t, 1, e.Reads()[ReadSource{"log-newest", "keyed.a", 0}].Refused)
		require.Equal(t, 1, e.Reads()[ReadSource{"log-read", "keyed.a", 0}].Refused)
		time.Sleep(1100 * time.Millisecond)
		got := e.read(readPath, time.Minute)
		require.Equal(t, http.StatusOK, got.status, "a refused read takes no time of the channel")
		requireAbout(t, 1900*time.Millisecond, got.took)
	})
}

func TestAnswerToCallerThatLeftTakesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLimitedStore().NewEndpoint()
		e.read(readPath, 100*time.Millisecond)
		got := e.read(readPath, time.Minute)
		requireAbout(t, 1900*time.Millisecond, got.took)
		count := e.Reads()[ReadSource{"log-read", "keyed.a", 0}]
		require.Equal(t, 2, count.Answers)
		require.Equal(t, count.Bytes, 2*count.Unused)
		require.Zero(t, count.Refused)
	})
}

func TestReadThatWaitsForRecordsTakesNoTimeOfTheChannel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLimitedStore().NewEndpoint()
		waiting := make(chan readAnswer, 1)
		go func() { waiting <- e.read("/log-read?topic=keyed.a&part=0&from=1&wait_ms=5000", time.Minute) }()
		synctest.Wait()
		requireAbout(t, time.Second, e.read(readPath, time.Minute).took)
		require.Equal(t, http.StatusOK, (<-waiting).status)
	})
}

func TestNewestPageHoldsOneMegabyte(t *testing.T) {
	store := New(1)
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		store.Put("keyed.a", key, make([]byte, 190_000))
	}
	p := store.partition("keyed.a", 0)
	items, more := p.newestAfter("")
	require.Len(t, items, 4)
	require.True(t, more)
	items, more = p.newestAfter("d")
	require.Len(t, items, 2)
	require.False(t, more)
	store.Put("keyed.a", "f", make([]byte, 2<<20))
	items, _ = p.newestAfter("e")
	require.Len(t, items, 1, "a page has at least one record")
}
