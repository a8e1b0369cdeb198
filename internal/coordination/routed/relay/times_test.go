package relay

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/servicetime"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
)

// pacedFleet is a scriptedFleet whose targets answer after some time, and that records how long
// requests may wait and when exchanges stall.
type pacedFleet struct {
	*scriptedFleet
	firstBytes time.Duration
	sendWithin []time.Duration
	stalled    []time.Duration
	sentAt     time.Time
}

func (f *pacedFleet) Place(ctx context.Context, want placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	f.sendWithin = append(f.sendWithin, time.Until(limits.SendBy))
	return f.scriptedFleet.Place(ctx, want, limits)
}

func (f *pacedFleet) Send(ctx context.Context, address string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	f.sentAt = time.Now()
	<-time.After(f.firstBytes)
	return f.scriptedFleet.Send(ctx, address, d)
}

func (f *pacedFleet) MarkStalled(placement.Choice) (resumed func()) {
	f.stalled = append(f.stalled, time.Since(f.sentAt))
	return func() {}
}

// serveOnce has a Relay with an estimator serve a stream.
func (f *pacedFleet) serveOnce(t *testing.T, times *servicetime.Estimator) Outcome {
	t.Helper()
	now := time.Now()
	f.scriptedFleet = &scriptedFleet{script: []scriptedAnswer{streamOf(0, 5)}}
	relay := New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Times: times, Logger: log.NewNopLogger()})
	route := resumableRoute
	outcome := relay.Serve(t.Context(), &RoutedRequest{
		Request: &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart},
		Route:   &route, Service: "s", ReceivedAt: now, Deadline: now.Add(requestTime),
	}, &caller{})
	require.Equal(t, Relayed, outcome.Reason)
	return outcome
}

func estimator(enabled, paced bool) *servicetime.Estimator {
	return servicetime.New(servicetime.Options{Enabled: enabled, ReportsPace: func(string) bool { return paced }})
}

// Guards against requests that wait for a slot until their answer would be late, and against targets
// that count as stalled although they answer as usual: first bytes take 180 ms and not 60 ms.
func TestLimitsFollowTheTimesOfAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, times := &pacedFleet{firstBytes: 100 * time.Millisecond}, estimator(true, true)
		for range servicetime.MinAnswers {
			outcome := f.serveOnce(t, times)
			require.Empty(t, outcome.Expected.LogFields())
		}
		for n := range servicetime.MinAnswers {
			require.Equal(t, 240*time.Millisecond, f.sendWithin[n], "too few answers")
		}
		<-time.After(time.Second)
		outcome := f.serveOnce(t, times)
		require.Equal(t, 200*time.Millisecond, f.sendWithin[servicetime.MinAnswers])
		require.Equal(t, 200*time.Millisecond, outcome.Expected.SendWithin)
		require.Contains(t, outcome.Expected.LogFields(), "expected_first_byte_ms")
		require.Empty(t, f.stalled)
		median, known := times.Answer("s")
		require.True(t, known)
		require.Equal(t, 100*time.Millisecond, median)

		f.firstBytes = 190 * time.Millisecond
		for range servicetime.MinAnswers / 2 {
			f.serveOnce(t, times)
		}
		require.Equal(t, 150*time.Millisecond, f.stalled[0], "as without an estimate")
		<-time.After(time.Second)
		stalled := len(f.stalled)
		f.firstBytes = 185 * time.Millisecond
		f.serveOnce(t, times)
		require.Len(t, f.stalled, stalled, "a tenth of the answers takes that long")

		// The window is ten seconds.
		<-time.After(11 * time.Second)
		f.serveOnce(t, times)
		require.Equal(t, 240*time.Millisecond, f.sendWithin[len(f.sendWithin)-1], "no recent answers")
	})
}

// Guards against a change for services whose targets don't report their pace, and for instances where
// the setting turns the part off: all limits are the constants, whatever was observed.
func TestServicesWithoutPaceAreServedAsBefore(t *testing.T) {
	for name, times := range map[string]*servicetime.Estimator{
		"no pace": estimator(true, false), "off": estimator(false, true), "no estimator": nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &pacedFleet{firstBytes: 190 * time.Millisecond}
				for range 3 * servicetime.MinAnswers {
					require.Empty(t, f.serveOnce(t, times).Expected.LogFields())
				}
				for n := range f.sendWithin {
					require.Equal(t, 240*time.Millisecond, f.sendWithin[n])
					require.Equal(t, 150*time.Millisecond, f.stalled[n])
				}
			})
		})
	}
}

// slotRequest is a request in the simulation of a queue for slots.
type slotRequest struct{ arrived, sendBy time.Duration }

// simulateQueue has requests wait for slots, in the order of the brokers' queue, during peaks of 1.3
// times the capacity. It returns the number of requests whose first bytes are on time, and that of
// all requests.
func simulateQueue(seed uint64, firstBytes func(*rand.Rand) time.Duration, sendWithin func(servicetime.Estimate) time.Duration) (onTime, all int) {
	const (
		step, end, slots, maxWait = time.Millisecond, 48 * time.Second, 40, 2 * time.Second
		// An answer takes ten times as long as its first bytes.
		answerFactor = 10
	)
	// All decisions get the same arrivals.
	random, arrivals := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
	mean := 0.0
	for range 10_000 {
		mean += firstBytes(random).Seconds() / 10_000
	}
	times, work := servicetime.NewTimes(), servicetime.Work{Service: "s", Stream: true}
	begin := time.Unix(1_000, 0)
	type sent struct{ firstBytesAt, freeAt, took time.Duration }
	var waiting []slotRequest
	var running []sent
	for now := time.Duration(0); now < end; now += step {
		running = slices.DeleteFunc(running, func(s sent) bool {
			if s.firstBytesAt == now {
				times.AddFirstBytes(begin.Add(now), work, s.took)
			}
			return s.freeAt <= now
		})
		load := 0.5
		if now%(6*time.Second) >= 3600*time.Millisecond {
			load = 1.3
		}
		for due := load * slots / (mean * answerFactor) * step.Seconds(); arrivals.Float64() < due; due-- {
			within := sendWithin(times.FirstBytes(begin.Add(now), work))
			waiting = append(waiting, slotRequest{arrived: now, sendBy: now + within})
			all++
		}
		waiting = slices.DeleteFunc(waiting, func(r slotRequest) bool { return now-r.arrived > maxWait })
		slices.SortStableFunc(waiting, func(a, b slotRequest) int {
			lateA, lateB := now > a.sendBy, now > b.sendBy
			switch {
			case lateA != lateB && lateA:
				return 1
			case lateA != lateB:
				return -1
			case lateA:
				return cmp.Compare(a.arrived, b.arrived)
			default:
				return cmp.Compare(a.sendBy, b.sendBy)
			}
		})
		for len(waiting) > 0 && len(running) < slots {
			r := waiting[0]
			waiting = waiting[1:]
			took := firstBytes(random).Truncate(step)
			running = append(running, sent{firstBytesAt: now + took, freeAt: now + answerFactor*took, took: took})
			if now+took-r.arrived <= resumableRoute.LatencyObjective {
				onTime++
			}
		}
	}
	return onTime, all
}

// pacedFirstBytes returns times until the first bytes of targets whose pace differs from 0.6 to 1.6,
// one in seven of which is 2.5 times slower at a time.
func pacedFirstBytes(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		pace := []float64{0.6, 1, 1.6}[random.IntN(3)]
		if random.IntN(7) == 0 {
			pace *= 2.5
		}
		return time.Duration(pace * float64(mean))
	}
}

// Guards against requests that get a slot when their answer would be late, before others that could be
// on time. Compares the decision with estimates with that with the constant.
func TestMoreRequestsAreOnTimeWithEstimates(t *testing.T) {
	objective := resumableRoute.LatencyObjective
	constant := func(servicetime.Estimate) time.Duration { return objective - expectedTimeToFirstByte }
	estimated := func(e servicetime.Estimate) time.Duration {
		return servicetime.SendWithin(objective, expectedTimeToFirstByte, e)
	}
	median := func(e servicetime.Estimate) time.Duration {
		e.P90 = e.Median
		return estimated(e)
	}
	for _, mean := range []time.Duration{45 * time.Millisecond, 75 * time.Millisecond, 150 * time.Millisecond} {
		var before, after, withMedian, all int
		for seed := range uint64(3) {
			n, total := simulateQueue(seed, pacedFirstBytes(mean), constant)
			before, all = before+n, all+total
			n, _ = simulateQueue(seed, pacedFirstBytes(mean), estimated)
			after += n
			n, _ = simulateQueue(seed, pacedFirstBytes(mean), median)
			withMedian += n
		}
		t.Logf("first bytes %s: on time with the constant %d, with the 90th percentile %d, with the median %d, of %d", mean, before, after, withMedian, all)
		require.Greater(t, after, before, "first bytes %s", mean)
		require.Greater(t, after, withMedian, "first bytes %s", mean)
	}
}

// fullAfterSend has no further target once a request was sent.
type fullAfterSend struct{ *pacedFleet }

func (f fullAfterSend) Send(ctx context.Context, address string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	f.noTargets = true
	return f.pacedFleet.Send(ctx, address, d)
}

// Guards against a log line with a stall limit of 0: another target was sought after a replaced one.
func TestStallLimitOfTheLastExchangeIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paced, times := &pacedFleet{firstBytes: 100 * time.Millisecond}, estimator(true, true)
		for range servicetime.MinAnswers {
			paced.serveOnce(t, times)
		}
		<-time.After(time.Second)
		paced.scriptedFleet = &scriptedFleet{script: []scriptedAnswer{replaced}}
		f := fullAfterSend{paced}
		r, now := resumableRoute, time.Now()
		relay := New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Times: times, Logger: log.NewNopLogger()})
		outcome := relay.Serve(t.Context(), &RoutedRequest{
			Request: &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart},
			Route:   &r, Service: "s", ReceivedAt: now, Deadline: now.Add(requestTime),
		}, &caller{})
		require.Equal(t, NotAccepted, outcome.Reason)
		require.Positive(t, outcome.Expected.StallAfter)
	})
}

// Guards against estimates of answers that grow by the time for which callers did not read.
func TestTimeOfAnswerExcludesStoppedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := estimator(true, true)
		for range servicetime.MinAnswers {
			answer := timed(io.EOF, eventParts(0, 50, 1000)...)
			answer.interval = time.Millisecond
			f := &timedFleet{answers: []*timedAnswer{answer}}
			opts := Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Times: times, Logger: log.NewNopLogger()}
			got := served{began: time.Now(), budget: answerbuffer.NewBudget(20_000)}.serve(t.Context(), resumableRoute, opts, newSlowCaller(200_000))
			require.Equal(t, Relayed, got.outcome.Reason)
			require.Greater(t, got.outcome.ReadStopped, 50*time.Millisecond)
		}
		<-time.After(time.Second)
		median, known := times.Answer("s")
		require.True(t, known)
		require.InDelta(t, 50, median.Milliseconds(), 1)
	})
}
