package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/rawanswer"
)

// cutTarget sends the answers of a stand-in up to some byte and closes the connection.
type cutTarget struct {
	next http.Handler
	// cut is the number of bytes that are sent, length that of the last whole answer, asked the number of answers.
	cut, length, asked *atomic.Int64
	chunked            bool
}

// ServeHTTP implements http.Handler.
func (c *cutTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	whole := rawanswer.Recorded(c.next, r, c.chunked)
	c.asked.Add(1)
	c.length.Store(int64(len(whole)))
	rawanswer.SendCut(w, whole, int(c.cut.Load()))
}

// Guards against a target that stops within its answer, at any byte of the head or in the body, and closes: callers
// must not get a success with an empty or short body that is framed as whole.
func TestAnswerThatIsCutIsNotWholeForCallers(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		chunked    bool
	}{
		"length":           {testPath, chatBody("q", false), false},
		"chunks":           {testPath, chatBody("q", false), true},
		"events in chunks": {testPath, chatBody("q", true), true},
		"plain service":    {"/v1/services/" + string(plainService) + "/x", "q", false},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+"/"+proto, func(t *testing.T) {
				t.Parallel()
				request := fmt.Sprintf("POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
					c.path, proto, testSecret, len(c.body), c.body)
				testCutsForCallers(t, request, c.chunked, name == "events in chunks")
			})
		}
	}
}

// testCutsForCallers sends a request once for each byte at which its answer may be cut.
func testCutsForCallers(t *testing.T, request string, chunked, events bool) {
	var cut, length, asked atomic.Int64
	newCutSystem := func() *system {
		s := newSystem(t, systemOptions{tokens: 2})
		for n, server := range s.servers {
			cutting := httptest.NewServer(&cutTarget{next: server.Config.Handler, cut: &cut, length: &length, asked: &asked, chunked: chunked})
			t.Cleanup(cutting.Close)
			s.listing.Targets[n].Address = strings.TrimPrefix(cutting.URL, "http://")
		}
		s.router.ApplyListing(s.listing)
		return s
	}
	receive := func(s *system) (string, bool, rawanswer.Answer) {
		conn := s.dialRaw(t, request)
		defer func() { _ = conn.Close() }()
		answer, err := rawanswer.Read(conn, 5*time.Second)
		require.NoError(t, err)
		body, whole := answer.WholeSuccess()
		return body, whole, answer
	}
	cut.Store(1 << 20)
	content, whole, answer := receive(newCutSystem())
	require.True(t, whole, "%q", answer.Raw)
	require.NotEmpty(t, content)
	s := newCutSystem()
	for n := range length.Load() {
		cut.Store(n)
		before := asked.Load()
		body, whole, answer := receive(s)
		if asked.Load() == before {
			// The request crossed the close of a kept connection, or no target is asked for some time since they lost
			// several answers in a row.
			require.False(t, whole, "%q", answer.Raw)
			s = newCutSystem()
			body, whole, answer = receive(s)
		}
		require.Greater(t, asked.Load(), before, "no target was asked: %q", answer.Raw)
		if whole {
			// A stream that other targets continue may be whole. Only ids differ from answer to answer, and are as long.
			require.True(t, events, "cut at %d: %q", n, answer.Raw)
			require.Len(t, body, len(content), "cut at %d: %q", n, answer.Raw)
		}
	}
}
