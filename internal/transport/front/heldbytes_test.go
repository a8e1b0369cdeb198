package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/standin/memnet"
)

// heldFront is a Front with a budget of held bytes on an in-memory network.
type heldFront struct {
	*testFront
	network *memnet.Network
	budget  *answerbuffer.Budget
}

func startHeldFront(t *testing.T, bound int64, serve relayFunc) *heldFront {
	f := &heldFront{network: memnet.New(time.Millisecond), budget: answerbuffer.NewBudget(bound)}
	listener, err := f.network.Host("10.0.0.2").Listen("10.0.0.2:80")
	require.NoError(t, err)
	f.testFront = startFrontOn(t, listener, serve, f.budget)
	return f
}

// begin sends bytes on a new connection, which is closed at the end of the test.
func (f *heldFront) begin(t *testing.T, text string) net.Conn {
	conn, err := f.network.Host("10.0.0.1").Dial(t.Context(), "10.0.0.2:80")
	require.NoError(t, err)
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// status reads a response whole and returns its status and Retry-After.
func status(t *testing.T, conn net.Conn) (int, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, conn.Close())
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against request bodies that exceed the memory, against a rejection without a time to come
// back or of requests that need no room, and against room that is not free once a request has ended.
func TestRequestBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := startHeldFront(t, 20_000, func(sink relay.Sink) relay.Outcome {
			<-release
			sink.SendHead(&exchange.Reply{Status: http.StatusOK})
			return relay.Outcome{Reason: relay.Relayed, Status: http.StatusOK, TimeToFirstByte: 1}
		})
		first := f.begin(t, request("first", 15_000, strings.Repeat("x", 15_000)))
		synctest.Wait()
		<-time.After(10 * time.Millisecond)
		require.Equal(t, int64(15_001), f.budget.Levels().Bodies)

		code, retry := status(t, f.begin(t, request("second", 6_000, strings.Repeat("x", 6_000))))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Equal(t, shortRetryAfter.String(), retry)
		require.Regexp(t, "request=second .*outcome=refused reason=no_memory status=503 .*answers_bytes=0 bodies_bytes=[0-9]+ bound_bytes=20000", f.logs.String())
		require.Equal(t, int64(15_001), f.budget.Levels().Bodies, "the part of a rejected body is not held")

		empty := f.begin(t, request("empty", 0, ""))
		small := f.begin(t, request("small", 10, "0123456789"))
		close(release)
		for _, conn := range []net.Conn{first, empty, small} {
			code, _ = status(t, conn)
			require.Equal(t, http.StatusOK, code)
		}
		synctest.Wait()
		require.Zero(t, f.budget.Levels().Bodies)
	})
}

// Guards against a caller that announces a large body, sends none of it and takes the room of all
// others, and against one that leaves in the middle of its body.
func TestAnnouncedBodyTakesRoomAsItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startHeldFront(t, 20_000, func(relay.Sink) relay.Outcome { return relay.Outcome{} })
		conn := f.begin(t, request("silent", 19_000, "x"))
		<-time.After(10 * time.Millisecond)
		require.Equal(t, int64(firstBodyRead), f.budget.Levels().Bodies)
		require.NoError(t, conn.Close())
		<-time.After(10 * time.Millisecond)
		require.Zero(t, f.budget.Levels().Bodies)
	})
}

// Guards against a body that is changed while it is counted, with an announced length or without.
func TestCountedBodyIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{1, firstBodyRead - 1, firstBodyRead, firstBodyRead + 1, 3*firstBodyRead + 7, 100_000} {
			for _, chunked := range []bool{false, true} {
				body := make([]byte, size)
				for i := range body {
					body[i] = byte(i % 251)
				}
				r, err := http.NewRequest(http.MethodPost, "http://x/", bytes.NewReader(body))
				require.NoError(t, err)
				r.ContentLength = int64(size)
				if chunked {
					r.ContentLength = -1
				}
				budget := answerbuffer.NewBudget(1 << 20)
				c := &callerRequest{Front: &Front{opts: Options{HeldBytes: budget}}, r: r}
				got, err := c.readAll(r.Body)
				require.NoError(t, err)
				require.Equal(t, body, got, fmt.Sprint(size, chunked))
				require.Equal(t, int64(cap(got)), budget.Levels().Bodies)
				c.releaseBody()
				require.Zero(t, budget.Levels().Bodies)
			}
		}
	})
}

// Guards against a delivery that can't be ended while its caller does not read, and against the end
// of a write that a later write undoes.
func TestAbortEndsWriteToCallerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var took time.Duration
		f := startHeldFront(t, 20_000, func(sink relay.Sink) relay.Outcome {
			held := sink.(relay.BufferedSink)
			held.SendHead(&exchange.Reply{Status: http.StatusOK})
			timer := time.AfterFunc(time.Second, held.Abort)
			defer timer.Stop()
			began := time.Now()
			require.Error(t, held.SendParts([][]byte{make([]byte, 1<<20)}))
			took = time.Since(began)
			require.ErrorIs(t, held.SendParts([][]byte{{1}}), net.ErrClosed)
			return relay.Outcome{Reason: relay.CallerDisconnected, Status: http.StatusOK, TimeToFirstByte: 1}
		})
		conn := f.begin(t, request("slow", 0, ""))
		<-time.After(2 * time.Second)
		require.Equal(t, time.Second, took)
		require.NoError(t, conn.Close())
	})
}
