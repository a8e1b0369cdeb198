package burn

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newClock() *clock { return &clock{time.Unix(1_800_000_000, 0)} }

var testObjectives = protocol.Objectives{FirstToken: time.Second, BetweenTokens: 36 * time.Millisecond, Target: 0.95, BatchOnTime: 0.99}

func newTestRecorder(c *clock) *Recorder {
	return NewRecorder(func(protocol.OrganisationID) protocol.Objectives { return testObjectives }, c.read)
}

// peers returns snapshots of the recorders of other instances; an instance with a nil
// recorder is unreachable.
type peers map[protocol.InstanceID]*Recorder

func (p peers) List() []coordination.Peer {
	var list []coordination.Peer
	for id := range p {
		list = append(list, coordination.Peer{Instance: id})
	}
	return list
}

func (p peers) Call(_ context.Context, to protocol.InstanceID, method string, args, reply any) error {
	if p[to] == nil || method != MethodReport {
		return errors.New("unreachable")
	}
	return (&Receiver{p[to]}).Report(args.(Request), reply.(*Snapshot))
}

func collect(t *testing.T, c *clock, own *Recorder, others peers) Report {
	t.Helper()
	fleet := &protocol.Fleet{Organisations: map[protocol.OrganisationID]protocol.Organisation{"ana": {ID: "ana", Objectives: testObjectives}}}
	collector := &Collector{Instance: "a", Recorder: own, Peers: others, Fleet: func() *protocol.Fleet { return fleet },
		Now: c.read, PeerTimeout: time.Second}
	report, err := collector.Report(t.Context(), Request{})
	require.NoError(t, err)
	return report
}

func find(t *testing.T, report Report, signal Signal) Line {
	t.Helper()
	for _, line := range report.Lines {
		if line.Signal == signal.String() {
			return line
		}
	}
	t.Fatalf("no line for %s", signal)
	return Line{}
}

// One of three instances is unreachable. A report of the other two alone could look better
// than the actual state, so the report names the missing instance.
func TestReportMergesInstancesAndNamesUnreachableOnes(t *testing.T) {
	c := newClock()
	own, other := newTestRecorder(c), newTestRecorder(c)
	for range 90 {
		own.Record("ana", "lm", 100*time.Millisecond, 10*time.Millisecond, true)
	}
	for range 10 {
		other.Record("ana", "lm", 3*time.Second, 10*time.Millisecond, true)
	}
	other.RecordBatch("ana", "lm", 98, 2)
	report := collect(t, c, own, peers{"b": other, "c": nil})
	require.Equal(t, []protocol.InstanceID{"a", "b"}, report.Merged)
	require.Equal(t, []protocol.InstanceID{"c"}, report.Unreached)

	line := find(t, report, FirstToken)
	require.Equal(t, WindowLine{Window: "5m", Good: 90, Bad: 10, Burn: line.Windows[0].Burn}, line.Windows[0])
	require.InDelta(t, 2.0, line.Windows[0].Burn, 1e-9)
	require.InDelta(t, 100, line.Latency.P50, 7)
	require.InDelta(t, 3000, line.Latency.P99, 200)
	require.Zero(t, find(t, report, BetweenTokens).Windows[0].Bad)
	require.InDelta(t, 2.0, find(t, report, BatchOnTime).Windows[0].Burn, 1e-9)
}

func TestAlarmNeedsShortAndLongWindow(t *testing.T) {
	c := newClock()
	recorder := newTestRecorder(c)
	fail := func(n int) {
		for range n {
			recorder.Record("ana", "lm", 0, 0, false)
		}
	}
	fail(100)
	require.Equal(t, AlarmFast, find(t, collect(t, c, recorder, nil), Availability).Alarm)
	c.now = c.now.Add(20 * time.Minute)
	line := find(t, collect(t, c, recorder, nil), Availability)
	require.Zero(t, line.Windows[FiveMinutes].Bad)
	require.Equal(t, AlarmSlow, line.Alarm)
	c.now = c.now.Add(40 * time.Minute)
	require.Equal(t, AlarmNone, find(t, collect(t, c, recorder, nil), Availability).Alarm)
	c.now = c.now.Add(7 * time.Hour)
	require.Empty(t, collect(t, c, recorder, nil).Lines)
}

// The counts of a window equal those of a list of calls, accurate to one span at the
// oldest end, for any gaps between the calls.
func TestWindowsAgreeWithListOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		counted := newWindows()
		var calls []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(30*time.Minute)).Draw(t, "gap")))
			counted.add(now, Availability, Count{Good: 1})
			calls = append(calls, now)
		}
		sums := counted.sums(now)
		within := func(span time.Duration) uint32 {
			var n uint32
			for _, at := range calls {
				if now.Sub(at) < span {
					n++
				}
			}
			return n
		}
		check := func(w Window, span, step time.Duration) {
			got := sums[w][Availability].Good
			if got < within(span-step) || got > within(span) {
				t.Fatalf("%s: %d, want between %d and %d", w, got, within(span-step), within(span))
			}
		}
		check(FiveMinutes, 5*time.Minute, fineSpan)
		check(HalfHour, 30*time.Minute, middleSpan)
		check(Hour, time.Hour, middleSpan)
		check(SixHours, 6*time.Hour, coarseSpan)
	})
}

// Callers of 3,400 organisations make calls to 38 services. An instance that kept a series
// for each pair would run out of memory. Beyond its limit it counts organisations together,
// and it counts separately again when the old series have expired.
func TestMemoryIsBounded(t *testing.T) {
	c := newClock()
	recorder := newTestRecorder(c)
	before := heap()
	for org := range 3400 {
		for service := range 38 {
			recorder.Record(protocol.OrganisationID(fmt.Sprint(org)), protocol.ServiceName(fmt.Sprint(service)), time.Second, time.Millisecond, true)
		}
	}
	grown := int64(heap()) - int64(before)
	t.Logf("%d series, %d bytes", len(recorder.series), grown)
	require.LessOrEqual(t, len(recorder.series), maxSeries+38)
	require.Less(t, grown, int64(12<<20))
	c.now = c.now.Add(seriesRetention + time.Minute)
	recorder.Record("new", "lm", time.Second, 0, true)
	require.Len(t, recorder.series, 1)
	require.Equal(t, 1, recorder.histograms)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestSnapshotWithMalformedHistogramIsRejected(t *testing.T) {
	m := newMerger()
	bad := Snapshot{Series: []SeriesSnapshot{{Series: Series{"ana", "lm"}, Latency: [latencySignals][]byte{[]byte("no histogram")}}}}
	require.Error(t, m.add(bad))
	require.Empty(t, m.series)
}

func BenchmarkRecord(b *testing.B) {
	c := newClock()
	recorder := newTestRecorder(c)
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record("ana", "lm", 300*time.Millisecond, 20*time.Millisecond, true)
	}
}

// An operator requests the report while calls are served. If the recorder were locked
// while it encodes, calls that end meanwhile would wait a tenth of a second, and the report
// on tail latency would increase the tail latency. The recorder reads the clock once for
// each series, and the test records a call at each of these points.
func TestReportDoesNotHoldUpCalls(t *testing.T) {
	c := newClock()
	var recorder *Recorder
	phase := 0 // 0 = before the snapshot, 1 = during it, 2 = inside a recorded call
	recorder = NewRecorder(func(protocol.OrganisationID) protocol.Objectives { return testObjectives }, func() time.Time {
		if phase == 1 {
			phase = 2
			recorder.Record("ana", "lm", time.Second, 0, true)
			phase = 1
		}
		return c.now
	})
	for i := range 10 {
		recorder.Record(protocol.OrganisationID(fmt.Sprint(i)), "lm", time.Second, 0, true)
	}
	phase = 1
	snapshot, err := recorder.Snapshot(Request{})
	require.NoError(t, err)
	require.Len(t, snapshot.Series, 10)
	phase = 0
	seen, err := recorder.Snapshot(Request{Organisation: "ana"})
	require.NoError(t, err)
	require.EqualValues(t, 10, seen.Series[0].Windows[FiveMinutes][Availability].Good)
}

// countingWriter counts the bytes of an encoded snapshot.
type countingWriter struct{ bytes int64 }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return len(p), nil
}

// BenchmarkSnapshot measures the cost of the snapshot of one instance with a full recorder.
func BenchmarkSnapshot(b *testing.B) {
	c := newClock()
	recorder := newTestRecorder(c)
	for i := range maxSeries {
		for call := range 20 {
			took := time.Duration(100+i%50+call*20) * time.Millisecond
			recorder.Record(protocol.OrganisationID(fmt.Sprint(i)), "tiller-reports", took, 30*time.Millisecond, true)
		}
	}
	var size countingWriter
	for b.Loop() {
		snapshot, err := recorder.Snapshot(Request{})
		require.NoError(b, err)
		size.bytes = 0
		require.NoError(b, gob.NewEncoder(&size).Encode(snapshot))
	}
	b.ReportMetric(float64(size.bytes), "bytes/report")
}
