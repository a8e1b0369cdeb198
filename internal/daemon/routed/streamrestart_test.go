package routed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// runsForLong is a time for which targets run before a restart of all instances: longer than a stream can be taken up.
const runsForLong = 30 * time.Second

// requireWholeText checks that a stream is complete and that all its events are from one run at one version.
func (s *receivedStream) requireWholeText(t *testing.T, events int) {
	t.Helper()
	require.Len(t, s.data, events, "stream %s: statuses %v", s.id, s.statuses)
	require.Len(t, s.versions(), 1, "stream %s", s.id)
	for n, data := range s.data {
		require.Equal(t, engine.VersionedEventData(s.id, n, s.versions()[0]), data)
	}
}

// followAll takes up streams after a restart of all instances, at all instances in turn, and begins anew what can't go
// on. It returns how many went on at the first try, and checks the whole text of each.
func (fleet *testFleet) followAll(t *testing.T, streams []*receivedStream, events int) (wentOn int) {
	t.Helper()
	parts := make([][]*receivedStream, len(fleet.instances))
	for n, stream := range streams {
		at := n % len(parts)
		parts[at] = append(parts[at], stream)
	}
	for n, part := range parts {
		wentOn += takeUp(t, fleet.instances[n], part, events)
	}
	for n, stream := range streams {
		if !stream.complete {
			stream.beginAnew()
			stream.attempt(t, fleet.instances[n%len(fleet.instances)], fmt.Sprintf("anew-%d", n), events)
		}
		stream.requireWholeText(t, events)
	}
	return wentOn
}

// beginEverywhere begins streams at all instances. They break off when the instances are killed.
func (fleet *testFleet) beginEverywhere(t *testing.T, perInstance, events int) (streams []*receivedStream, wait func()) {
	var ended []chan struct{}
	for _, inst := range fleet.instances {
		begun, end := beginStreams(t, inst, perInstance, events, 3*time.Second)
		streams, ended = append(streams, begun...), append(ended, end)
	}
	return streams, func() {
		for _, end := range ended {
			<-end
		}
	}
}

// forVersion calls change for the targets of a version.
func (fleet *testFleet) forVersion(version string, change func(*target)) {
	for _, t := range fleet.targets {
		if t.version == version {
			change(t)
		}
	}
}

// whileDown are the ways in which the targets of the version v1 leave the list around a kill of all instances. after is called
// once the instances run again and before callers come back.
var whileDown = map[string]struct{ before, during, after func(fleet *testFleet) }{
	"just gone": {
		before: func(fleet *testFleet) { fleet.forVersion("v1", func(t *target) { t.state = "draining"; t.register() }) },
		during: func(fleet *testFleet) { fleet.forVersion("v1", (*target).removeForGood) },
	},
	"crashed": {
		during: func(fleet *testFleet) { fleet.forVersion("v1", (*target).removeForGood) },
	},
	"not listed yet": {
		during: func(fleet *testFleet) { fleet.forVersion("v1", (*target).unlist) },
	},
	"listed again": {
		during: func(fleet *testFleet) { fleet.forVersion("v1", (*target).unlist) },
		after:  func(fleet *testFleet) { fleet.forVersion("v1", func(t *target) { t.silent = false; t.register() }) },
	},
	"listed all the time": {},
}

// removeForGood ends the target's process and removes its entry. It does not come back.
func (t *target) removeForGood() {
	t.silent = true
	t.remove()
}

// Guards against streams of two versions after a restart of all instances: the list that the instances find shows only targets
// of one version, which have run for long, and streams had begun at another one.
func TestStreamsKeepTheirVersionAfterRestartOfAllInstances(t *testing.T) {
	const perInstance, events = 8, 60
	for name, change := range whileDown {
		for history, trim := range map[string]bool{"": false, ", history of the list deleted": true} {
			t.Run(name+history, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v2"}, nil)
					sleep(runsForLong)
					streams, ended := fleet.beginEverywhere(t, perInstance, events)
					if change.before != nil {
						change.before(fleet)
						sleep(100 * time.Millisecond)
					}
					fleet.killAll()
					if change.during != nil {
						change.during(fleet)
					}
					ended()
					if trim {
						fleet.store.Trim("keyed.servers")
					}
					fleet.startAll()
					fleet.awaitReady()
					if change.after != nil {
						change.after(fleet)
					}
					fleet.followAll(t, streams, events)
				})
			})
		}
	}
}

// Guards against a second version that began streams a moment before all instances were killed, and that the list shows no
// more after it.
func TestStreamsOfVersionThatServedForSecondsAreNotContinuedAtAnother(t *testing.T) {
	const perInstance, events = 8, 60
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 1, []string{"v1"}, nil)
		sleep(runsForLong)
		for d := range 3 {
			fleet.versionedTarget(fmt.Sprintf("t-%d-v2", d), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.9", d), "v2", nil)
		}
		sleep(time.Second)
		streams, ended := fleet.beginEverywhere(t, perInstance, events)
		fleet.killAll()
		fleet.forVersion("v2", (*target).removeForGood)
		ended()
		fleet.startAll()
		fleet.awaitReady()
		fleet.followAll(t, streams, events)
	})
}

// Guards against streams that can't be taken up after a restart of all instances though their service has one version: at least
// half as large a share goes on as of the new ones begins.
func TestStreamsOfOneVersionGoOnAfterRestartOfAllInstancesAsNewOnesBegin(t *testing.T) {
	const perInstance, events = 8, 60
	for name, prepare := range map[string]func(fleet *testFleet){
		"all listed":       func(*testFleet) {},
		"a target crashed": func(fleet *testFleet) { fleet.targets[0].removeForGood() },
		"a target started": func(fleet *testFleet) { fleet.versionedTarget("t-new", "d1", "10.1.2.9", "v1", nil) },
		"all left and others started": func(fleet *testFleet) {
			fleet.forVersion("v1", (*target).removeForGood)
			for d := range 3 {
				fleet.versionedTarget(fmt.Sprintf("t-new-%d", d), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.9", d), "v1", nil)
			}
		},
	} {
		for history, trim := range map[string]bool{"": false, ", history of the list deleted": true} {
			t.Run(name+history, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v1"}, nil)
					sleep(runsForLong)
					if trim {
						fleet.store.Trim("keyed.servers")
					}
					streams, ended := fleet.beginEverywhere(t, perInstance, events)
					fleet.killAll()
					prepare(fleet)
					ended()
					fleet.startAll()
					fleet.awaitReady()
					fresh, freshEnded := fleet.beginEverywhere(t, perInstance, events)
					begun := 0
					for _, stream := range fresh {
						if len(stream.statuses) == 0 || stream.statuses[0] == 200 {
							begun++
						}
					}
					freshEnded()
					wentOn := fleet.followAll(t, streams, events)
					t.Logf("%d of %d went on, %d of %d new ones began", wentOn, len(streams), begun, len(fresh))
					require.GreaterOrEqual(t, float64(wentOn)/float64(len(streams)), 0.5*float64(begun)/float64(len(fresh)))
				})
			})
		}
	}
}
