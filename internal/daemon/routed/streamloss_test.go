package routed

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// beginStreams begins streams at an instance and returns once their callers have events.
// Each caller waits for its answer for the given time. ended is closed when all answers have
// ended.
func beginStreams(t *testing.T, inst *testInstance, count, events int, waitsFor time.Duration) (streams []*receivedStream, ended chan struct{}) {
	ended = make(chan struct{})
	var callers sync.WaitGroup
	for n := range count {
		stream := &receivedStream{waitsFor: waitsFor}
		streams = append(streams, stream)
		callers.Go(func() { stream.attempt(t, inst, fmt.Sprintf("%s-first-%d", inst.name, n), events) })
	}
	go func() {
		callers.Wait()
		close(ended)
	}()
	sleep(250 * time.Millisecond)
	return streams, ended
}

// takeUp takes up streams at an instance, all at once, and returns how many went on. An answer
// that was rejected must not have run.
func takeUp(t *testing.T, inst *testInstance, streams []*receivedStream, events int) (wentOn int) {
	t.Helper()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n, stream := range streams {
		stream.waitsFor = 0
		callers.Go(func() {
			before := len(stream.data)
			got := stream.attempt(t, inst, fmt.Sprintf("%s-second-%d", inst.name, n), events)
			mu.Lock()
			defer mu.Unlock()
			if len(stream.data) > before {
				wentOn++
			} else {
				require.Equal(t, http.StatusServiceUnavailable, got.status, "stream %d", n)
				t.Logf("%s: stream %d was rejected, see its lines:\n%s", inst.name, n, inst.linesOf(fmt.Sprintf("%s-second-%d", inst.name, n)))
				require.Empty(t, inst.fleet.runsOf(fmt.Sprintf("%s-second-%d", inst.name, n)))
			}
		})
	}
	callers.Wait()
	for _, stream := range streams {
		stream.requireOneVersion(t)
	}
	return wentOn
}

// linesOf returns the log lines that name a request.
func (inst *testInstance) linesOf(id string) string {
	var out []string
	for line := range strings.Lines(inst.logs.String()) {
		if strings.Contains(line, "request="+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "")
}

// Guards against streams that nobody can take up, or that go on at another version, after the
// instance that began them was killed or stopped answering. Their callers come back at once or
// later, all together, in the same and in other failure domains.
func TestStreamsOfLostInstanceGoOnAtOthers(t *testing.T) {
	const count, events = 20, 60
	for name, lose := range map[string]func(*testInstance){
		"killed":  (*testInstance).kill,
		"stopped": func(inst *testInstance) { inst.fleet.net.PowerOff(inst.ip) },
	} {
		for _, after := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second} {
			for _, domain := range []int{0, 1, 2} {
				t.Run(fmt.Sprint(name, " ", after, " domain ", domain), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fleet := newVersionedFleet(t, 3, 2, []string{"v1", "v2", "v3"}, nil)
						lost, other := fleet.instances[0], fleet.instances[2*domain+1]
						streams, ended := beginStreams(t, lost, count, events, 500*time.Millisecond)
						lose(lost)
						<-ended
						sleep(after)
						require.Equal(t, count, takeUp(t, other, streams, events))
						for _, stream := range streams {
							require.True(t, stream.complete)
						}
					})
				})
			}
		}
	}
}

// Guards against a failure domain on its own, or the rest, that can't take up streams which began
// before the network partition, or goes on with them at another version.
func TestStreamsGoOnOnBothSidesOfPartition(t *testing.T) {
	const count, events = 12, 100
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 2, []string{"v1", "v2"}, nil)
		inside, endedInside := beginStreams(t, fleet.instances[0], count, events, 800*time.Millisecond)
		outside, endedOutside := beginStreams(t, fleet.instances[2], count, events, 800*time.Millisecond)
		isolated, rest := fleet.domainAddresses("d0")
		fleet.net.Partition(isolated, rest)
		<-endedInside
		<-endedOutside
		sleep(500 * time.Millisecond)
		// The callers' path to the instances is not cut. The streams of each side are taken up on
		// both sides.
		half := count / 2
		require.GreaterOrEqual(t, takeUp(t, fleet.instances[1], inside[:half], events), half/2)
		require.Equal(t, half, takeUp(t, fleet.instances[4], inside[half:], events))
		require.GreaterOrEqual(t, takeUp(t, fleet.instances[1], outside[:half], events), half/2)
		require.Equal(t, half, takeUp(t, fleet.instances[4], outside[half:], events))
	})
}

// domainAddresses returns the addresses of the instances and targets of a failure domain, and
// all others together with the store.
func (fleet *testFleet) domainAddresses(domain string) (inside, outside []string) {
	outside = append(outside, storeIP)
	add := func(of, ip string) {
		if of == domain {
			inside = append(inside, ip)
		} else {
			outside = append(outside, ip)
		}
	}
	for _, inst := range fleet.instances {
		add(inst.domain, inst.ip)
	}
	for _, target := range fleet.targets {
		add(target.domain, target.ip)
	}
	return inside, outside
}

// Guards against a refusal each time: the instances and targets of a failure domain die, and all
// callers come back at once while new streams begin. Of the streams that are taken up, at least half as large
// a share goes on as of the new ones begins, the rule for callers.
func TestManyStreamsTakenUpAtOnceGoOnBesideNewOnes(t *testing.T) {
	const count, events = 48, 40
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 2, []string{"v1", "v2", "v3"}, nil)
		var streams []*receivedStream
		var ended []chan struct{}
		for _, inst := range fleet.instances[:2] {
			begun, end := beginStreams(t, inst, count/2, events, time.Second)
			streams, ended = append(streams, begun...), append(ended, end)
		}
		for _, target := range fleet.targets {
			if target.domain == "d0" {
				target.crash()
			}
		}
		for _, inst := range fleet.instances[:2] {
			inst.kill()
		}
		for _, end := range ended {
			<-end
		}
		var broken []*receivedStream
		for _, stream := range streams {
			stream.requireOneVersion(t)
			if !stream.complete {
				broken = append(broken, stream)
			}
		}
		var fresh []*receivedStream
		var callers sync.WaitGroup
		for n := range 2 * count {
			stream := &receivedStream{}
			fresh = append(fresh, stream)
			callers.Go(func() { stream.attempt(t, fleet.instances[2+n%4], fmt.Sprint("new-", n), events) })
		}
		wentOn := takeUp(t, fleet.instances[5], broken, events)
		callers.Wait()
		begun := 0
		for _, stream := range fresh {
			if len(stream.data) > 0 {
				begun++
			}
		}
		t.Logf("%d of %d went on, %d of %d new ones began", wentOn, len(broken), begun, len(fresh))
		require.Greater(t, len(broken), count/2)
		require.GreaterOrEqual(t, float64(wentOn)/float64(len(broken)), 0.5*float64(begun)/float64(len(fresh)))
	})
}

// Guards against callers that wait in vain, or never get an answer, after the version of their
// stream has left: they are told at once, and a new stream begins.
func TestStreamOfVersionThatLeftBeginsAnew(t *testing.T) {
	const count, events = 8, 60
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 2, 2, []string{"v1"}, nil)
		streams, ended := beginStreams(t, fleet.instances[0], count, events, time.Second)
		fleet.versionedTarget("t-new", "d1", "10.1.2.9", "v2", nil)
		<-ended
		for _, target := range fleet.targets {
			if target.version == "v1" {
				target.remove()
			}
		}
		sleep(2 * time.Second)
		for n, stream := range streams {
			got := stream.attempt(t, fleet.instances[3], fmt.Sprint("again-", n), events)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Empty(t, got.header.Get("Retry-After"))
			require.Less(t, got.took, 200*time.Millisecond)
			stream.beginAnew()
			stream.waitsFor = 0
			stream.attempt(t, fleet.instances[2], fmt.Sprint("anew-", n), events)
			require.True(t, stream.complete)
			require.Equal(t, []string{"v2"}, stream.versions())
		}
	})
}

// Guards against streams that can't be taken up after a restart of all instances, though their
// service has never had more than one version.
func TestStreamsOfOnlyVersionGoOnAfterRestartOfAllInstances(t *testing.T) {
	const count, events = 12, 120
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 1, []string{"v1"}, nil)
		sleep(15 * time.Second)
		streams, ended := beginStreams(t, fleet.instances[0], count, events, 3*time.Second)
		fleet.killAll()
		fleet.startAll()
		<-ended
		fleet.awaitReady()
		require.Equal(t, count, takeUp(t, fleet.instances[1], streams, events))
	})
}

// Guards against a guess after a restart of all instances while several versions serve.
func TestRestartedInstancesDoNotGuessVersion(t *testing.T) {
	const count, events = 12, 120
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v2"}, nil)
		streams, ended := beginStreams(t, fleet.instances[0], count, events, 3*time.Second)
		fleet.killAll()
		fleet.startAll()
		<-ended
		fleet.awaitReady()
		require.Zero(t, takeUp(t, fleet.instances[1], streams, events))
	})
}

// release replaces all targets by new ones of a version, one after the other: each new one starts
// before the old one drains and leaves.
func (fleet *testFleet) release(version string, step int, faultFor func(string) engine.Fault) {
	var old []*target
	for _, t := range fleet.targets {
		if t.state == "ready" && !t.silent {
			old = append(old, t)
		}
	}
	for n, t := range old {
		fleet.versionedTarget(fmt.Sprintf("t-%s-%d-%d", version, step, n), t.domain, fmt.Sprintf("10.%c.%d.%d", t.domain[1], 10+step, n+1), version, faultFor)
		t.state = "draining"
		t.register()
		fleet.background.Go(func() {
			sleep(time.Second)
			t.remove()
		})
		sleep(250 * time.Millisecond)
	}
}

// streamLoad begins streams at all instances in turn until stop is called. Their callers take
// them up at other instances, and begin anew when they are told to.
type streamLoad struct {
	fleet             *testFleet
	stopped           chan struct{}
	done              sync.WaitGroup
	mu                sync.Mutex
	wentOn, rejected  int
	begun, incomplete int
}

func (fleet *testFleet) startStreams(t *testing.T) *streamLoad {
	load := &streamLoad{fleet: fleet, stopped: make(chan struct{})}
	load.done.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-load.stopped:
				return
			case <-time.After(25 * time.Millisecond):
				load.done.Go(func() { load.follow(t, n) })
			}
		}
	})
	return load
}

// follow receives one stream over several attempts at different instances.
func (l *streamLoad) follow(t *testing.T, n int) {
	const events, attempts = 40, 4
	var stream receivedStream
	for try := range attempts {
		before := len(stream.data)
		got := stream.attempt(t, l.fleet.instances[(n+try)%len(l.fleet.instances)], fmt.Sprintf("load-%d-%d", n, try), events)
		stream.requireOneVersion(t)
		l.mu.Lock()
		switch {
		case before > 0 && len(stream.data) > before:
			l.wentOn++
		case before > 0 && got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "":
			l.rejected++
			stream.beginAnew()
		}
		l.mu.Unlock()
		if stream.complete {
			break
		}
		sleep(time.Duration(n%3) * 50 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun++
	if !stream.complete {
		l.incomplete++
	}
}

// stop ends the load and returns how many attempts went on with a stream, and how many were told
// to begin anew.
func (l *streamLoad) stop() (wentOn, rejected int) {
	close(l.stopped)
	l.done.Wait()
	return l.wentOn, l.rejected
}

// Guards against streams of two versions during releases in both directions, with targets and
// instances that fail meanwhile. Callers take their streams up at any instance, and begin anew
// when they are told to.
func TestReleasesInBothDirectionsMixNoVersions(t *testing.T) {
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Every third stream breaks off at each target.
				breaking := func(id string) engine.Fault {
					if strings.HasSuffix(id, "0-0") || strings.HasSuffix(id, "3-0") || strings.HasSuffix(id, "7-0") {
						return engine.Fault{BreakAfter: 5 + seed}
					}
					return engine.Fault{}
				}
				fleet := newVersionedFleet(t, 3, 2, []string{"v0", "v1"}, breaking)
				load := fleet.startStreams(t)
				for step, version := range []string{"v2", "v1", "v3", "v2"} {
					fleet.release(version, step, breaking)
					if step%2 == seed%2 {
						fleet.instances[step].kill()
						sleep(300 * time.Millisecond)
						fleet.instances[step].start()
					}
				}
				wentOn, rejected := load.stop()
				t.Logf("%d of %d streams that were taken up went on", wentOn, wentOn+rejected)
				require.Greater(t, wentOn, 20)
				require.Less(t, rejected, wentOn)
			})
		})
	}
}
