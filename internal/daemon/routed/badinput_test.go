package routed

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sendRaw sends the parts unchanged on a new connection and returns the status of each
// response until the connection ends or no byte arrives for 12 s.
func (inst *testInstance) sendRaw(parts ...string) (statuses []int) {
	t := inst.fleet.t
	t.Helper()
	conn, err := inst.fleet.net.Host(callerIP).Dial(t.Context(), inst.ip+":80")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for _, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			break
		}
		sleep(50 * time.Millisecond)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(12*time.Second)))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, response.StatusCode)
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// requestHead returns the header section of a request, with additional lines.
func requestHead(id string, lines ...string) string {
	all := append([]string{
		"POST /once/" + id + " HTTP/1.1", "Host: " + host, "Request-Id: " + id, "Deadline-Ms: 5000",
		"Authorization: Bearer " + keyOne,
	}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// Callers send malformed requests. Each kind is known to make some HTTP server forward a
// request that nobody sent, leak memory or crash. The caller must get the status that
// describes the error, and the instance must continue to serve.
func TestMalformedRequestsReachNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		fleet.configure(func(config map[string]any) {
			config["limits"] = map[string]any{"max_header_bytes": 4096, "max_body_bytes": 1000, "idle_timeout_ms": 15000}
		})
		sleep(500 * time.Millisecond)
		inst := fleet.instances[0]
		for _, c := range []struct {
			name string
			sent []string
			want int
		}{
			{"a body over the limit", []string{requestHead("a", "Content-Length: 1001") + strings.Repeat("x", 1001)}, http.StatusRequestEntityTooLarge},
			{"chunks over the limit", []string{requestHead("b", "Transfer-Encoding: chunked") + "3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n"}, http.StatusRequestEntityTooLarge},
			{"a header section over the limit", []string{requestHead("c", "X: "+strings.Repeat("x", 2*4096), "Content-Length: 0")}, http.StatusRequestHeaderFieldsTooLarge},
			{"a header section at the limit", []string{requestHead("m", "X: "+strings.Repeat("x", 4096), "Content-Length: 0")}, http.StatusOK},
			{"a broken chunk", []string{requestHead("e", "Transfer-Encoding: chunked") + "zz\r\nabc\r\n0\r\n\r\n"}, http.StatusBadRequest},
			{"two different lengths", []string{requestHead("f", "Content-Length: 3", "Content-Length: 40") + "abc"}, http.StatusBadRequest},
			{"an invalid length", []string{requestHead("g", "Content-Length: 3x") + "abc"}, http.StatusBadRequest},
			{"an unknown coding", []string{requestHead("h", "Transfer-Encoding: chunked, identity") + "0\r\n\r\n"}, http.StatusNotImplemented},
			{"a folded header line", []string{requestHead("i", "X: a\r\n\tb: c", "Content-Length: 0")}, http.StatusOK},
			{"a space before the colon", []string{requestHead("j", "Content-Length : 3") + "abc"}, http.StatusBadRequest},
			{"no host", []string{"POST /once/k HTTP/1.1\r\n\r\n"}, http.StatusBadRequest},
			{"not HTTP", []string{"hello\r\n\r\n"}, http.StatusBadRequest},
			{"an incomplete body", []string{requestHead("l", "Content-Length: 10"), "abc"}, http.StatusRequestTimeout},
		} {
			statuses := inst.sendRaw(c.sent...)
			require.NotEmpty(t, statuses, c.name)
			require.Equal(t, c.want, statuses[0], c.name)
		}
		// The connection may be reset before the caller has read the response.
		require.NotContains(t, inst.sendRaw(requestHead("d", "X: "+strings.Repeat("x", 1<<20))), http.StatusOK)
		for _, id := range strings.Split("abcdefghjkl", "") {
			require.Empty(t, fleet.runsOf(id), id)
		}
		require.Equal(t, http.StatusOK, inst.send(callerRequest{id: "after", path: "/once/after", key: keyOne, header: map[string]string{"Token-Count": "5,3"}}).status)
	})
}

// A caller hides a second request in the body of the first. If the instance and a
// target disagreed on the end of the body, the target would run the hidden request with
// the rights of the next caller on that connection.
func TestRequestSmugglingIsPrevented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		inst := fleet.instances[0]
		hidden := fmt.Sprintf("POST /once/hidden HTTP/1.1\r\nHost: %s\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n", host)
		inst.sendRaw(requestHead("both", "Transfer-Encoding: chunked", fmt.Sprintf("Content-Length: %d", 5+len(hidden))) + "0\r\n\r\n" + hidden)
		inst.sendRaw(requestHead("plain", fmt.Sprintf("Content-Length: %d", len(hidden))) + hidden)
		inst.sendRaw(requestHead("line", "X: a\nRequest-Id: hidden", "Content-Length: 0"))
		require.Empty(t, fleet.runsOf("hidden"))
		for _, run := range fleet.runsOf("plain") {
			require.Equal(t, hidden, run.Body)
		}
		require.Len(t, fleet.runsOf("plain"), 1)
	})
}

// A caller does not complete the headers of its request. Without a timeout the instance
// would keep the connection of each such caller until it runs out of connections.
func TestConnectionWithoutCompleteRequestIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		conn, err := fleet.net.Host(callerIP).Dial(t.Context(), fleet.instances[0].ip+":80")
		require.NoError(t, err)
		_, err = conn.Write([]byte("POST /once/a HT"))
		require.NoError(t, err)
		start := time.Now()
		_, err = io.ReadAll(conn)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 15*time.Second)
	})
}
