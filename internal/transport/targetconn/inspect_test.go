package targetconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/memnet"
	"merlintiller/internal/standin/rawanswer"
	"merlintiller/platform"
)

const targetAddress = "10.0.0.2:80"

// dialCounter counts the connections that a host opens.
type dialCounter struct {
	*memnet.Host
	count int
}

func (d *dialCounter) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.count++
	return d.Host.Dial(ctx, address)
}

// inspectFixture is a client with one target.
type inspectFixture struct {
	*Client
	target  *engine.Engine
	dials   *dialCounter
	network *memnet.Network
}

// runInspectTest runs a test with one target. The target is an HTTP handler, or an
// engine if handler is nil.
func runInspectTest(t *testing.T, handler http.Handler, run func(t *testing.T, f *inspectFixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen(targetAddress)
		require.NoError(t, err)
		f := &inspectFixture{
			target:  engine.New(engine.Options{ID: "t", Slots: 2, EventInterval: 20 * time.Millisecond}),
			dials:   &dialCounter{Host: network.Host("10.0.0.1")},
			network: network,
		}
		if handler == nil {
			handler = f.target
		}
		server := &http.Server{Handler: handler}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(listener) }()
		f.Client = New(f.dials, Codec{
			EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
			ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport,
			EndRunPath: platform.EndRunPath, EncodeEndRun: platform.EncodeEndRun, DecodeEndRun: platform.DecodeEndRun,
			HandlePath: platform.HandlePath,
		})
		run(t, f)
		f.Close()
		_ = server.Close()
		<-done
	})
}

// startRequest sends a request for 100 events and does not read the response.
func (f *inspectFixture) startRequest(t *testing.T, id string) {
	t.Helper()
	_, err := f.Send(t.Context(), targetAddress, &exchange.Dispatch{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/a/100", Target: "t", TimeLeft: time.Minute, After: exchange.FromStart,
	})
	require.NoError(t, err)
}

func TestRunIsReportedAndEnded(t *testing.T) {
	runInspectTest(t, nil, func(t *testing.T, f *inspectFixture) {
		f.startRequest(t, "one")
		f.startRequest(t, "two")
		report, err := f.Report(t.Context(), targetAddress)
		require.NoError(t, err)
		require.Equal(t, []string{"one", "two"}, report.Runs)
		require.Equal(t, 2, report.Load.Running)

		require.NoError(t, f.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"))
		synctest.Wait()
		require.Zero(t, f.target.UnreleasedHandles(), "memory of the ended run is freed")
		report, err = f.Report(t.Context(), targetAddress)
		require.NoError(t, err)
		require.Equal(t, []string{"two"}, report.Runs)
		require.NoError(t, f.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"), "the run has ended already")
		require.Equal(t, 3, f.dials.count, "one connection for each of the two runs, one for all other calls")
	})
}

// A target responds to a report call with an error or with something that can't be
// decoded. If this were taken for a report without runs, the target would look idle.
func TestInvalidReportIsAnError(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"failure":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no report": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("busy")) },
		"aborted":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"too long":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxControlBody+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			runInspectTest(t, answer, func(t *testing.T, f *inspectFixture) {
				_, err := f.Report(t.Context(), targetAddress)
				require.Error(t, err)
				require.Error(t, f.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"))
			})
		})
	}
}

// Guards against a report, or an answer to a health check, that is cut at any byte and counts as whole: the target would
// look idle or healthy.
func TestControlResponseThatIsCutIsAnError(t *testing.T) {
	const report = `{"running":0,"waiting":0,"slots":8,"runs":[]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	var cut int
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rawanswer.SendCut(w, whole, cut)
	})
	runInspectTest(t, answer, func(t *testing.T, f *inspectFixture) {
		f.codec.DecodeHealth = platform.DecodeHealth
		for cut = range len(whole) {
			_, err := f.Report(t.Context(), targetAddress)
			require.Error(t, err, "cut at %d", cut)
			_, err = f.Health(t.Context(), targetAddress, "/health")
			require.Error(t, err, "cut at %d", cut)
		}
		cut = len(whole)
		_, err := f.Health(t.Context(), targetAddress, "/health")
		require.NoError(t, err)
	})
}

// A target never responds. A call to it must return when its context ends.
func TestUnresponsiveTargetTimesOut(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	runInspectTest(t, http.HandlerFunc(silent), func(t *testing.T, f *inspectFixture) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := f.Report(ctx, targetAddress)
		require.Error(t, err)
		require.Less(t, time.Since(began), 150*time.Millisecond)
	})
}
