package relay

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
)

// serveUntil has a relay serve a resumable stream whose caller disconnects after some time.
func (f *scriptedFleet) serveUntil(ctx context.Context, disconnects time.Duration) {
	ctx, cancel := context.WithTimeoutCause(ctx, disconnects, context.Canceled)
	defer cancel()
	stream := resumableRoute
	New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Logger: log.NewNopLogger()}).Serve(ctx, &RoutedRequest{
		Request: &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart},
		Route:   &stream, Service: "s", ReceivedAt: time.Now(), Deadline: time.Now().Add(requestTime),
	}, &caller{})
}

// Guards against repeats that hang one target after the other, since only targets that close the connection are
// reported, and against a report of each caller that disconnects.
func TestRequestLeftAtSilentTargetIsReported(t *testing.T) {
	silent := scriptedAnswer{neverAnswers: true}
	for name, c := range map[string]struct {
		script      []scriptedAnswer
		reserved    *roster.Target
		disconnects time.Duration
		left        int
	}{
		"until the deadline":               {[]scriptedAnswer{silent}, nil, time.Hour, 1},
		"until it goes to another target":  {[]scriptedAnswer{silent, streamOf(0, 2)}, &roster.Target{ID: "t1", Address: "t1:1"}, time.Hour, 1},
		"at both targets":                  {[]scriptedAnswer{silent, silent}, &roster.Target{ID: "t1", Address: "t1:1"}, time.Hour, 2},
		"until its caller disconnects":     {[]scriptedAnswer{silent}, nil, time.Second, 1},
		"its caller disconnects at once":   {[]scriptedAnswer{silent}, nil, silenceLimit / 2, 0},
		"answered":                         {[]scriptedAnswer{streamOf(0, 2)}, nil, time.Hour, 0},
		"closed by its target, not silent": {[]scriptedAnswer{crashed, streamOf(0, 2)}, nil, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{script: c.script, reserved: c.reserved}
				f.serveUntil(t.Context(), c.disconnects)
				require.Len(t, f.guard.left, c.left)
				for _, lost := range f.guard.left {
					require.Equal(t, lost.SentAt, lost.DataAt, "nothing came")
				}
			})
		})
	}
}

// slowBodyFleet answers with a body that comes in parts and breaks off.
type slowBodyFleet struct{ *scriptedFleet }

// slowBody brings a byte each 0.1 s until its connection is reset.
type slowBody struct {
	answerReader
	left int
}

func (f *slowBodyFleet) Send(_ context.Context, _ string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	f.sent = append(f.sent, *d)
	return &slowBody{answerReader{head: exchange.Reply{Status: http.StatusOK}}, 5}, nil
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, syscall.ECONNRESET
	}
	<-time.After(100 * time.Millisecond)
	b.left--
	return copy(p, "x"), nil
}

// Guards against a planned end that counts against a request, since its answer is not a stream and so seems to have
// brought nothing for a while.
func TestLostBodyTellsWhenDataLastCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &slowBodyFleet{&scriptedFleet{}}
		idempotent := route.Route{Kind: route.Idempotent, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 1}
		New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Logger: log.NewNopLogger()}).Serve(t.Context(), &RoutedRequest{
			Request: &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart},
			Route:   &idempotent, Service: "s", ReceivedAt: time.Now(), Deadline: time.Now().Add(requestTime),
		}, &caller{})
		require.Len(t, f.guard.lost, 1)
		require.Equal(t, f.guard.lost[0].At, f.guard.lost[0].DataAt)
	})
}
