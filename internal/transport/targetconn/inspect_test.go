package targetconn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/memnet"
	"merlintiller/platform"
)

const targetAddress = "10.0.0.2:80"

// dials counts the connections of a host.
type dials struct {
	*memnet.Host
	count int
}

func (d *dials) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.count++
	return d.Host.Dial(ctx, address)
}

// inspecting is a client before one target.
type inspecting struct {
	*Client
	target *engine.Engine
	dials  *dials
}

// inspected runs a test before a target that answers by a handler, or an engine.
func inspected(t *testing.T, handler http.Handler, run func(t *testing.T, i *inspecting)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen(targetAddress)
		require.NoError(t, err)
		i := &inspecting{
			target: engine.New(engine.Options{ID: "t", Slots: 2, Step: 20 * time.Millisecond}),
			dials:  &dials{Host: network.Host("10.0.0.1")},
		}
		if handler == nil {
			handler = i.target
		}
		server := &http.Server{Handler: handler}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(listener) }()
		i.Client = New(i.dials, Codec{
			EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
			ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport,
			EndRunPath: platform.EndRunPath, EncodeEndRun: platform.EncodeEndRun, DecodeEndRun: platform.DecodeEndRun,
			HandlePath: platform.HandlePath,
		})
		run(t, i)
		i.Close()
		_ = server.Close()
		<-done
	})
}

// begin sends a request for so many events and reads nothing of the answer.
func (i *inspecting) begin(t *testing.T, id string) {
	t.Helper()
	_, err := i.Send(t.Context(), targetAddress, &exchange.Dispatch{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/a/100", Target: "t", TimeLeft: time.Minute, After: exchange.FromStart,
	})
	require.NoError(t, err)
}

func TestRunIsReportedAndEnded(t *testing.T) {
	inspected(t, nil, func(t *testing.T, i *inspecting) {
		i.begin(t, "one")
		i.begin(t, "two")
		report, err := i.Report(t.Context(), targetAddress)
		require.NoError(t, err)
		require.Equal(t, []string{"one", "two"}, report.Runs)
		require.Equal(t, 2, report.Load.Running)

		require.NoError(t, i.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"))
		synctest.Wait()
		require.Zero(t, i.target.Kept(), "its memory is freed")
		report, err = i.Report(t.Context(), targetAddress)
		require.NoError(t, err)
		require.Equal(t, []string{"two"}, report.Runs)
		require.NoError(t, i.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"), "it has ended already")
		require.Equal(t, 3, i.dials.count, "two for the runs, one for all calls")
	})
}

// A target answers with a failure, or with what can't be read. Taken for a report
// without runs, it would look idle.
func TestReportThatIsNoneIsAnError(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"failure":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no report":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("busy")) },
		"no end":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no measure": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, reportBytes+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			inspected(t, answer, func(t *testing.T, i *inspecting) {
				_, err := i.Report(t.Context(), targetAddress)
				require.Error(t, err)
				require.Error(t, i.EndRun(t.Context(), targetAddress, "one", "10.0.0.3:80"))
			})
		})
	}
}

// A target does not answer at all. Whoever asks must not wait for it.
func TestSilentTargetIsNotWaitedFor(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	inspected(t, http.HandlerFunc(silent), func(t *testing.T, i *inspecting) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := i.Report(ctx, targetAddress)
		require.Error(t, err)
		require.Less(t, time.Since(began), 150*time.Millisecond)
	})
}
