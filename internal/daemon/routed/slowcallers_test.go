package routed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

const (
	// slowEvents is the number of events of an answer to a slow caller. longID makes each of them
	// about 230 bytes long.
	slowEvents = 50
	idPadding  = 200
	// callerWindow is the number of bytes that the network takes for a caller that does not read.
	callerWindow = 2 << 10
)

// longID returns the id of a request that makes its events large.
func longID(name string) string { return name + "-" + strings.Repeat("x", idPadding) }

// throttledConn is a connection whose reader takes a number of bytes a second.
type throttledConn struct {
	net.Conn
	bytesPerSecond int
	// left is what may be read before the next second.
	left int
}

func (c *throttledConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		sleep(time.Second)
		c.left = c.bytesPerSecond
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// sendSlowly sends a request whose caller reads a number of bytes a second. The connection stays open.
func (inst *testInstance) sendSlowly(t *testing.T, path, id string, bytesPerSecond int) (net.Conn, func() (string, error)) {
	conn, err := inst.fleet.net.Host(callerIP).Dial(t.Context(), inst.ip+":80")
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %sa/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody",
		path, slowEvents, host, id, keyOne)
	require.NoError(t, err)
	return conn, func() (string, error) {
		response, err := http.ReadResponse(bufio.NewReader(&throttledConn{Conn: conn, bytesPerSecond: bytesPerSecond}), nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
}

// newSlowCallerFleet returns a fleet of one instance of 144 MB with a share of its memory for held
// bytes, and 64 slots.
func newSlowCallerFleet(t *testing.T, percent int) (*testFleet, *testInstance) {
	fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 8, engine: engine.Options{Slots: 8, QueueSize: 24, EventInterval: 4 * time.Millisecond}})
	inst := fleet.instances[0]
	inst.kill()
	inst.settings.MemoryMB, inst.settings.Adaptive.AnswerBuffersPercent = 144, percent
	inst.start()
	fleet.awaitReady()
	// The warm-up of the targets ends.
	sleep(3 * time.Second)
	fleet.net.SetWindow(callerWindow)
	return fleet, inst
}

// slotsHeld returns the number of slots that the instance holds for online requests.
func (inst *testInstance) slotsHeld() (held int) {
	for _, n := range inst.daemon.placer.InFlight() {
		held += n.Online
	}
	return held
}

// slowCallersResult is what a run with slow callers brought.
type slowCallersResult struct {
	// whole and cut count the answers of slow callers.
	whole, cut int
	// otherTimes are the times of the others that were served, ascending, otherFailed the number of
	// the rest.
	otherTimes  []time.Duration
	otherFailed int
	// lateSlots counts the samples at which the instance held more slots than targets had runs within
	// the last 100 ms.
	lateSlots  int
	peak, held int64
	bound      int64
}

func (r *slowCallersResult) percentile(p float64) time.Duration {
	return r.otherTimes[int(p*float64(len(r.otherTimes)-1))]
}

// runSlowCallers has a number of slow callers send a request each in 2.5 s, and others 100 requests a
// second for 4 s.
func runSlowCallers(t *testing.T, percent, slow int) (result slowCallersResult) {
	fleet, inst := newSlowCallerFleet(t, percent)
	var callers sync.WaitGroup
	var mu sync.Mutex
	for n := range slow {
		callers.Go(func() {
			sleep(time.Duration(n) * 2500 * time.Millisecond / time.Duration(slow))
			id := longID(fmt.Sprint("slow-", n))
			conn, read := inst.sendSlowly(t, "/once/", id, 1000)
			body, err := read()
			_ = conn.Close()
			mu.Lock()
			defer mu.Unlock()
			if err == nil && body == streamBody(id, slowEvents) {
				result.whole++
			} else {
				result.cut++
			}
		})
	}
	for n := range 400 {
		callers.Go(func() {
			sleep(time.Duration(n) * 10 * time.Millisecond)
			got := inst.send(callerRequest{id: fmt.Sprint("other-", n), path: "/once/a/10", key: keyOne})
			mu.Lock()
			defer mu.Unlock()
			if got.err == nil && got.status == http.StatusOK {
				result.otherTimes = append(result.otherTimes, got.took)
			} else {
				result.otherFailed++
			}
		})
	}
	type sample struct {
		at    time.Time
		slots int
	}
	var samples []sample
	for range 500 {
		sleep(10 * time.Millisecond)
		samples = append(samples, sample{time.Now(), inst.slotsHeld()})
	}
	var runs []engine.Run
	for _, target := range fleet.targets {
		runs = append(runs, target.Runs()...)
	}
	for _, s := range samples {
		justified := 0
		for _, r := range runs {
			// A slot is held from the placement on, some round trips before the run.
			if !s.at.Before(r.StartedAt.Add(-10*time.Millisecond)) && (r.EndedAt.IsZero() || s.at.Before(r.EndedAt.Add(100*time.Millisecond))) {
				justified++
			}
		}
		if s.slots > justified {
			result.lateSlots++
		}
	}
	callers.Wait()
	slices.Sort(result.otherTimes)
	if budget := inst.daemon.heldBytes; budget != nil {
		result.peak, result.held, result.bound = budget.Peak().Answers, budget.Levels().Answers+budget.Levels().Bodies, budget.Levels().Bound
	}
	return result
}

// Guards against callers that read slowly and take the slots or the memory of all others: 500 of
// them, each reading 1 KB/s, at an instance of 144 MB, beside others that read at once. The same
// with the part turned off shows what it is good for.
func TestSlowCallersDelayNobody(t *testing.T) {
	results := map[string]slowCallersResult{}
	for name, c := range map[string]struct{ percent, slow int }{"none": {25, 0}, "on": {25, 500}, "off": {0, 500}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := runSlowCallers(t, c.percent, c.slow)
				results[name] = r
				t.Logf("slow callers: %d whole, %d cut; others: %d served, %d failed, p50 %s, p99 %s; %d samples with late slots; peak %d bytes of %d",
					r.whole, r.cut, len(r.otherTimes), r.otherFailed, r.percentile(0.5), r.percentile(0.99), r.lateSlots, r.peak, r.bound)
			})
		})
	}
	none, on, off := results["none"], results["on"], results["off"]
	require.Equal(t, 500, on.whole, "no answer may be aborted")
	require.Zero(t, on.otherFailed)
	require.Zero(t, on.lateSlots)
	require.Less(t, on.peak, on.bound)
	require.Zero(t, on.held)
	require.LessOrEqual(t, on.percentile(0.99), none.percentile(0.99)*11/10)
	require.Greater(t, off.otherFailed, 100, "with the part turned off, slow callers are expected to take the slots")
	require.Positive(t, off.cut)
}

// Guards against a caller that leaves in the middle of its answer, and whose bytes stay held or whose
// run goes on.
func TestSlowCallerThatLeavesIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, inst := newSlowCallerFleet(t, 25)
		id := longID("leaves")
		conn, _ := inst.sendSlowly(t, "/once/", id, 1000)
		sleep(100 * time.Millisecond)
		require.Positive(t, inst.daemon.heldBytes.Levels().Answers)
		require.Positive(t, inst.daemon.heldBytes.Levels().Bodies)
		require.Zero(t, fleet.runsOf(id)[0].EndedAt)
		require.NoError(t, conn.Close())
		sleep(5 * time.Millisecond)
		require.Zero(t, inst.daemon.heldBytes.Levels().Answers)
		require.Zero(t, inst.daemon.heldBytes.Levels().Bodies)
		run := fleet.runsOf(id)[0]
		require.NotZero(t, run.EndedAt)
		require.False(t, run.Complete)
		require.Regexp(t, "event=request request="+id+" .*reason=caller_left ", inst.logs.String())
	})
}

// Guards against a shutdown that drops what is held for callers: the target has sent all of an answer
// and the caller has read a part of it when the instance is told to stop.
func TestShutdownDeliversHeldAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, inst := newSlowCallerFleet(t, 25)
		id := longID("held")
		conn, read := inst.sendSlowly(t, "/once/", id, 3000)
		defer func() { _ = conn.Close() }()
		sleep(time.Second)
		require.Greater(t, inst.daemon.heldBytes.Levels().Answers, int64(4000))
		require.Zero(t, inst.slotsHeld())
		inst.cancel()
		body, err := read()
		require.NoError(t, err, inst.logs)
		require.Equal(t, streamBody(id, slowEvents), body)
		<-inst.done
		require.Contains(t, inst.logs.String(), "interrupted=0")
	})
}

// Guards against events that reach a slow caller twice, or not at all, after faults: each target breaks
// its answer in the middle of an event while earlier ones are held, another instance is killed, and the
// store does not respond.
func TestSlowCallersGetWholeStreamsThroughFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fault := faultOnce("", engine.Fault{BreakAfter: 20})
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 4, engine: engine.Options{
			Slots: 8, QueueSize: 24, EventInterval: 4 * time.Millisecond, FaultFor: fault,
		}})
		sleep(3 * time.Second)
		fleet.net.SetWindow(callerWindow)
		inst := fleet.instances[0]
		var callers sync.WaitGroup
		for n := range 60 {
			callers.Go(func() {
				sleep(time.Duration(n) * 50 * time.Millisecond)
				id := longID(fmt.Sprint("slow-", n))
				conn, read := inst.sendSlowly(t, "/again/", id, 1000)
				defer func() { _ = conn.Close() }()
				body, err := read()
				require.NoError(t, err, inst.logs)
				require.Equal(t, streamBody(id, slowEvents), body)
				runs := fleet.runsOf(id)
				require.Len(t, runs, 2)
				slices.SortFunc(runs, func(a, b engine.Run) int { return a.StartedAt.Compare(b.StartedAt) })
				require.Equal(t, 19, runs[1].ResumedAfter)
				require.Less(t, runs[1].EndedAt.Sub(runs[0].StartedAt), time.Second)
			})
		}
		sleep(time.Second)
		for _, each := range fleet.instances {
			each.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
		sleep(time.Second)
		fleet.instances[1].kill()
		callers.Wait()
		require.Zero(t, inst.daemon.heldBytes.Levels().Answers)
		require.Zero(t, inst.daemon.heldBytes.Levels().Bodies)
	})
}
