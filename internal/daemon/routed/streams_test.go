package routed

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// versionedTarget adds a target whose events name its software version.
func (fleet *testFleet) versionedTarget(id, domain, ip, version string, faultFor func(id string) engine.Fault) *target {
	return fleet.addTarget(id, domain, ip, engine.Options{
		Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond, Version: version, FaultFor: faultFor,
	})
}

// newVersionedFleet starts a fleet in which each failure domain has one target of each
// version. faultFor may be nil.
func newVersionedFleet(t *testing.T, domains, instances int, versions []string, faultFor func(id string) engine.Fault) *testFleet {
	t.Helper()
	fleet := newTestFleet(t, fleetSize{domains: domains, instances: instances})
	for d := range domains {
		for i, version := range versions {
			fleet.versionedTarget(fmt.Sprintf("t-%d-%s", d, version), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.%d", d, i+1), version, faultFor)
		}
	}
	// All instances read the list.
	sleep(2 * time.Second)
	return fleet
}

// remove ends the target's process and removes its entry.
func (t *target) remove() {
	t.crash()
	t.fleet.store.Put("keyed.servers", t.id, nil)
}

// receivedStream is what a caller has received of a stream over its attempts.
type receivedStream struct {
	// id is the id of the attempt that brought the first event, empty if none did.
	id string
	// data are the data of the events, in order. statuses are those of the attempts.
	data     []string
	statuses []int
	complete bool
	// freshStarts counts the attempts that began the stream anew.
	freshStarts int
	// waitsFor is how long the caller waits for an attempt. 0: 6 s.
	waitsFor time.Duration
}

// beginAnew discards what was received.
func (s *receivedStream) beginAnew() { s.id, s.data = "", nil }

// attempt sends one attempt for the rest of the stream and adds what it brings.
func (s *receivedStream) attempt(t *testing.T, inst *testInstance, id string, events int) callerResponse {
	request := callerRequest{
		id: id, path: fmt.Sprintf("/again/x/%d", events), key: keyOne, header: map[string]string{}, timeout: s.waitsFor,
	}
	if len(s.data) > 0 {
		request.header["Resumes"] = s.id
		request.header["Last-Event-Id"] = strconv.Itoa(len(s.data) - 1)
	} else {
		s.freshStarts++
	}
	got := inst.send(request)
	s.statuses = append(s.statuses, got.status)
	if got.status != http.StatusOK {
		return got
	}
	before := len(s.data)
	s.add(t, got.body)
	if before == 0 && len(s.data) > 0 {
		s.id = id
	}
	s.complete = got.err == nil && len(s.data) == events
	return got
}

// add adds the complete events of a body, which have to follow those received before.
func (s *receivedStream) add(t *testing.T, body string) {
	parts := strings.Split(body, "\n\n")
	for _, part := range parts[:len(parts)-1] {
		number, data, ok := strings.Cut(strings.TrimPrefix(part, "id: "), "\ndata: ")
		require.True(t, ok, part)
		require.Equal(t, strconv.Itoa(len(s.data)), number, "events of %s", s.id)
		s.data = append(s.data, data)
	}
}

// versions returns the software versions of the events, in the order of their first event.
func (s *receivedStream) versions() (out []string) {
	for _, data := range s.data {
		_, version, _ := strings.Cut(data, "@")
		if len(out) == 0 || out[len(out)-1] != version {
			out = append(out, version)
		}
	}
	return out
}

// requireOneVersion checks that all events come from targets of one software version.
func (s *receivedStream) requireOneVersion(t *testing.T) {
	t.Helper()
	require.LessOrEqual(t, len(s.versions()), 1, "stream %s: versions of its events", s.id)
}

// faultOnce returns a fault for the first run of each id that has a prefix.
func faultOnce(prefix string, fault engine.Fault) func(id string) engine.Fault {
	var mu sync.Mutex
	seen := map[string]bool{}
	return func(id string) engine.Fault {
		mu.Lock()
		defer mu.Unlock()
		if seen[id] || !strings.HasPrefix(id, prefix) {
			return engine.Fault{}
		}
		seen[id] = true
		return fault
	}
}

// Guards against an answer that goes on at a target of another software version after its
// target broke off.
func TestAnswerGoesOnAtVersionThatBeganIt(t *testing.T) {
	for name, fault := range map[string]engine.Fault{"broken": {BreakAfter: 4}, "hanging": {HangAfter: 4}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v2"}, faultOnce("s", fault))
				for i := range 24 {
					var stream receivedStream
					stream.attempt(t, fleet.instances[i%3], fmt.Sprint("s", i), 12)
					stream.requireOneVersion(t)
					require.True(t, stream.complete, "stream %d: statuses %v", i, stream.statuses)
				}
			})
		})
	}
}

// Guards against a caller's retry that goes on at a target of another software version than
// the attempt that brought the first event, at any instance.
func TestRetryGoesOnAtVersionThatBeganIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Both runs of an attempt break, so that its answer is truncated.
		breaking := func(id string) engine.Fault {
			if strings.HasPrefix(id, "first") {
				return engine.Fault{BreakAfter: 3}
			}
			return engine.Fault{}
		}
		fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v2"}, breaking)
		for i := range 24 {
			var stream receivedStream
			stream.attempt(t, fleet.instances[i%3], fmt.Sprint("first", i), 20)
			require.NotEmpty(t, stream.data)
			stream.attempt(t, fleet.instances[(i+1)%3], fmt.Sprint("second", i), 20)
			stream.requireOneVersion(t)
			require.True(t, stream.complete, "stream %d: statuses %v", i, stream.statuses)
		}
	})
}

// versionsOfText returns the software versions of the events of an item's text.
func versionsOfText(text string) []string {
	stream := receivedStream{data: strings.Split(text, "\n")}
	return stream.versions()
}

// Guards against the text of a batch item that is joined from events of two software
// versions, after a target broke off or the item yielded its slot.
func TestItemGoesOnAtVersionThatBeganIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 2, 2, []string{"v1", "v2"}, faultOnce("job", engine.Fault{BreakAfter: 25}))
		inst := fleet.instances[0]
		require.Equal(t, http.StatusAccepted, inst.send(batchJob("job", 24, 60)).status)
		results := inst.allResults("job", 20*time.Second)
		for _, result := range results.Results {
			require.Equal(t, "succeeded", result.State, result.ID)
			require.Len(t, strings.Split(result.Text, "\n"), 60, result.ID)
			require.Len(t, versionsOfText(result.Text), 1, result.ID)
		}
	})
}
