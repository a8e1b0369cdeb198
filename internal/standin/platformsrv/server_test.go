package platformsrv

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/transport/platformhttp"
)

func serve(t *testing.T, s *Server, listener string) *platformhttp.Client {
	t.Helper()
	server := httptest.NewServer(s.Handler(listener))
	t.Cleanup(server.Close)
	return platformhttp.New(strings.TrimPrefix(server.URL, "http://"))
}

func TestLogOverHTTP(t *testing.T) {
	s := New(Options{})
	client := serve(t, s, "a")
	offset, err := client.Append(t.Context(), "s", []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 0, offset)
	page, err := client.Read(t.Context(), "s", 0, 10, time.Second)
	require.NoError(t, err)
	require.Equal(t, []external.Entry{{Offset: 0, Payload: []byte("x")}}, page.Entries)
	s.log.Trim("s", 1)
	page, err = client.Read(t.Context(), "s", 0, 10, 0)
	require.ErrorIs(t, err, external.ErrTrimmed)
	require.Equal(t, protocol.Offset(1), page.Oldest)
}

// A failure domain is disconnected from the platform. Its instances see an outage
// while the others continue to append.
func TestDisconnectedListenerSeesOutage(t *testing.T) {
	s := New(Options{})
	disconnected, connected := serve(t, s, "a"), serve(t, s, "b")
	s.faults.Cut = []string{"a"}
	_, err := disconnected.Append(t.Context(), "s", nil)
	require.ErrorIs(t, err, external.ErrUnavailable)
	_, err = connected.Append(t.Context(), "s", nil)
	require.NoError(t, err)
}

// Instances request the list with the ETag of their copy. After a target is added
// they must receive the change, and after "not modified" they must still have the
// complete list.
func TestListIsSentOnlyWhenItChanged(t *testing.T) {
	s := New(Options{})
	client := serve(t, s, "a")
	s.changeTargets("one", &external.ListedTarget{ID: "one"})
	for range 2 {
		listing, err := client.List(t.Context())
		require.NoError(t, err)
		require.Len(t, listing.Targets, 1)
	}
	s.changeTargets("two", &external.ListedTarget{ID: "two"})
	listing, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, listing.Targets, 2)
}

// The log limits the rate of appends. The client must report a rejected append as
// throttled, which means that nothing was appended. An outage would leave that
// open.
func TestThrottleIsDistinctFromOutage(t *testing.T) {
	s := New(Options{Log: memlog.Options{AppendsPerSecond: 0.001}})
	client := serve(t, s, "a")
	_, err := client.Append(t.Context(), "s", nil)
	require.NoError(t, err)
	_, err = client.Append(t.Context(), "s", nil)
	require.ErrorIs(t, err, external.ErrThrottled)
}
