package platformhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// The platform, or a proxy in between, sends bytes that its protocol does not define.
// The client must return one of the expected errors for them, so that the instance
// retries as in an outage, and must neither panic nor return them as entries.
func FuzzAnswers(f *testing.F) {
	page, err := protocol.Marshal(PageWire{Entries: []EntryWire{{Offset: 3, Payload: []byte("x")}}, Next: 4})
	require.NoError(f, err)
	f.Add(http.StatusOK, page)
	f.Add(http.StatusOK, []byte(`{"targets":[{"id":"t"}]}`))
	f.Add(http.StatusOK, []byte(`{"offset":1e99}`))
	f.Add(http.StatusNotModified, []byte{})
	f.Add(http.StatusTeapot, []byte("no"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write(body)
		}))
		defer server.Close()
		client := New(strings.TrimPrefix(server.URL, "http://"))
		isExpected := func(err error) bool {
			for _, want := range []error{external.ErrUnavailable, external.ErrThrottled, external.ErrTrimmed, external.ErrEntryTooLarge} {
				if err == nil || errors.Is(err, want) {
					return true
				}
			}
			return false
		}
		_, err := client.Append(t.Context(), "s", nil)
		require.True(t, isExpected(err), err)
		_, err = client.Read(t.Context(), "s", 0, 1, 0)
		require.True(t, isExpected(err), err)
		_, err = client.List(t.Context())
		require.True(t, isExpected(err), err)
		_, err = client.Stat(t.Context(), "m", "v")
		require.True(t, isExpected(err), err)
	})
}
