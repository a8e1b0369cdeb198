package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
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
