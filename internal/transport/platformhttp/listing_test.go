package platformhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// Guards against one odd line in the list of processes that keeps an instance from following all of it.
func TestOddLinesOfListAreLeftOut(t *testing.T) {
	good := external.ListedTarget{ID: "t-1", Service: "s", Domain: "d", Address: "10.0.0.1:80", Leaving: true}
	for _, odd := range []string{
		`7`, `null`, `"t-2"`, `{}`, `{"id":7}`, `{"id":"t-2","address":"10.0.0.2:80","leaving":"yes"}`, `{"id":"t-2","address":"10.0.0.2:99999"}`,
		`{"id":"t-2","address":"10.0.0.2:0"}`, `{"id":"t-2","address":"10.0.0.2:-1"}`, `{"id":"t-2","domain":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"targets":[` + odd + `,{"id":"t-1","service":"s","domain":"d","address":"10.0.0.1:80","leaving":true}],"instances":[` + odd + `]}`))
		}))
		listing, err := New(strings.TrimPrefix(server.URL, "http://")).List(t.Context())
		server.Close()
		require.NoError(t, err, "%.40s", odd)
		require.Equal(t, []external.ListedTarget{good}, listing.Targets, "%.40s", odd)
		require.Equal(t, 2, listing.Unreadable, "%.40s", odd)
	}
}
