package targetconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/standin/memnet"
)

// rawAnswer is a handler that writes bytes to the connection and ends it.
func rawAnswer(write func(w *bufio.ReadWriter, id string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		write(buffered, r.Header.Get("Request-Id"))
		_ = buffered.Flush()
		_ = conn.Close()
	})
}

// sendTo sends a request and reads its answer.
func sendTo(t *testing.T, f *inspectFixture) (external.OpenAnswer, string, error) {
	answer, err := f.Send(t.Context(), targetAddress, &exchange.Dispatch{
		ID: "r", Method: http.MethodPost, Host: "h", Path: "/a", Target: "t", TimeLeft: time.Minute, After: exchange.FromStart,
	})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(answer)
	answer.Close()
	return answer, string(body), err
}

// Guards against an answer without length or chunks that is cut, whose connection is used again, or
// that hides what its head says.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<16)
	for name, c := range map[string]struct {
		head, body string
		status     int
		notRun     bool
	}{
		"whole":   {"HTTP/1.1 200 OK\r\n", "the body", 200, false},
		"empty":   {"HTTP/1.1 200 OK\r\n", "", 200, false},
		"large":   {"HTTP/1.1 200 OK\r\n", large, 200, false},
		"failure": {"HTTP/1.1 500 Internal Server Error\r\n", "broken", 500, false},
		"not run": {"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n", "full", 503, true},
	} {
		t.Run(name, func(t *testing.T) {
			handler := rawAnswer(func(w *bufio.ReadWriter, id string) {
				_, _ = fmt.Fprintf(w, "%sRequest-Id: %s\r\n\r\n%s", c.head, id, c.body)
			})
			runInspectTest(t, handler, func(t *testing.T, f *inspectFixture) {
				for range 2 {
					answer, body, err := sendTo(t, f)
					require.NoError(t, err)
					require.Equal(t, c.body, body)
					require.Equal(t, c.status, answer.Head().Status)
					require.Equal(t, c.notRun, answer.Head().NotRun)
					require.True(t, answer.Head().EndsWithConnection)
				}
				require.Equal(t, 2, f.dials.count)
			})
		})
	}
}

// Guards against an answer without length or chunks that counts as whole although its connection was
// reset.
func TestResetAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, bytes := range []int{0, 10, 100_000} {
		var network *memnet.Network
		handler := rawAnswer(func(w *bufio.ReadWriter, id string) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n%s", id, strings.Repeat("x", bytes))
			_ = w.Flush()
			<-time.After(time.Second)
			network.Kill("10.0.0.2")
		})
		runInspectTest(t, handler, func(t *testing.T, f *inspectFixture) {
			network = f.network
			_, body, err := sendTo(t, f)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Len(t, body, bytes)
			require.False(t, f.Connected(targetAddress))
		})
	}
}

// Guards against an answer with a length or chunks that counts as one that ends with its connection.
func TestFramedAnswersDontEndWithTheirConnection(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "y")
	})
	runInspectTest(t, handler, func(t *testing.T, f *inspectFixture) {
		for range 2 {
			answer, body, err := sendTo(t, f)
			require.NoError(t, err)
			require.Equal(t, "xy", body)
			require.False(t, answer.Head().EndsWithConnection)
		}
		require.Equal(t, 1, f.dials.count)
	})
}

// Guards against a target that counts as crashed although a process listens there, and the other way
// round.
func TestRefusesTellsWhetherAProcessListens(t *testing.T) {
	runInspectTest(t, nil, func(t *testing.T, f *inspectFixture) {
		require.False(t, f.Refuses(t.Context(), targetAddress))
		require.True(t, f.Connected(targetAddress), "the connection is kept")
		require.True(t, f.Refuses(t.Context(), "10.0.0.2:81"))
	})
}
