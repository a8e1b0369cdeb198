package proctest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/wait"
)

var releasePauses = flag.Int("release-pauses", 1, "pauses of an instance in the test of a release beside an instance that is out of step")

// addVersionedTarget starts a target of a software version and keeps its entry in the list alive.
func (f *routedFleet) addVersionedTarget(n int, version string) {
	id := fmt.Sprintf("t-%s-%d", version, n)
	born := time.Now().UnixMilli()
	address := listen(f.t, engine.New(engine.Options{ID: id, Version: version, Born: born, Slots: 64, QueueSize: 200, EventInterval: 20 * time.Millisecond}))
	register := func() {
		data, _ := json.Marshal(map[string]any{
			"service": "svc", "address": address, "zone": string(domains[n%len(domains)]), "version": version, "slots": 64,
			"state": "ready", "born": born, "seq": time.Now().UnixMilli(),
		})
		f.store.Put("keyed.servers", id, data)
	}
	go func() { _ = wait.AtOnceAndEvery(f.ctx, time.Second, register) }()
}

// followed is a stream that a caller takes up at another instance.
type followed struct {
	id     string
	data   []string
	status []int
}

// attempt asks for the rest of the stream and reads it for a time.
func (s *followed) attempt(f *routedFleet, at *routedInstance, id string, d time.Duration) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.callers+"/r/a/400", nil)
	require.NoError(f.t, err)
	request.Host = routedHost
	request.Close = true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+routedKey)
	request.Header.Set("Deadline-Ms", "5000")
	if len(s.data) > 0 {
		request.Header.Set("Resumes", s.id)
		request.Header.Set("Last-Event-Id", fmt.Sprint(len(s.data)-1))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.status = append(s.status, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return
	}
	if len(s.data) == 0 {
		s.id = id
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.data = append(s.data, data)
		}
	}
}

// versions returns the software versions of the events.
func (s *followed) versions() map[string]bool {
	out := map[string]bool{}
	for _, data := range s.data {
		if _, version, ok := strings.Cut(data, "@"); ok {
			out[version] = true
		}
	}
	return out
}

// Guards against streams that go on at another software version since one instance was paused while targets of that
// version joined and the first streams began there at other instances.
func TestReleaseBesidePausedInstanceMixesNoVersions(t *testing.T) {
	const streams = 120
	for n := range *releasePauses {
		pause := []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second}[n%3]
		t.Run(fmt.Sprint(pause, "/", n), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(n), 68))
			f := startRoutedWith(t, t.TempDir(), restartInstances, func(f *routedFleet) {
				for n := range restartInstances {
					f.addVersionedTarget(n, "v1")
				}
			})
			// A version counts as the only one once no stream of another one can be taken up any more.
			wait.For(f.ctx, 11*time.Second)
			paused := f.instances[rng.IntN(len(f.instances))]
			require.NoError(t, paused.process.Pause())
			time.AfterFunc(pause, func() { _ = paused.process.Continue() })
			wait.For(f.ctx, time.Duration(rng.Int64N(int64(pause))))
			for n := range 3 {
				f.addVersionedTarget(n, "v2")
			}
			var mu sync.Mutex
			var callers sync.WaitGroup
			began, mixed, wentOn := map[string]int{}, 0, 0
			for n := range streams {
				at := f.instances[rng.IntN(len(f.instances))]
				leavesAfter := time.Duration(100+rng.IntN(500)) * time.Millisecond
				callers.Go(func() {
					var s followed
					if at != paused {
						s.attempt(f, at, fmt.Sprintf("first-%d", n), leavesAfter)
					}
					before := len(s.data)
					if before == 0 {
						return
					}
					first := strings.Split(s.data[0], "@")[1]
					s.attempt(f, paused, fmt.Sprintf("second-%d", n), 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					began[first]++
					if len(s.data) > before {
						wentOn++
					}
					if len(s.versions()) > 1 {
						mixed++
						t.Logf("stream %d has events of %v", n, s.versions())
					}
				})
				wait.For(f.ctx, time.Duration(rng.IntN(100))*time.Millisecond)
			}
			callers.Wait()
			t.Logf("began %v, went on %d, of two versions %d", began, wentOn, mixed)
			require.NotZero(t, began["v2"])
			require.Zero(t, mixed)
		})
	}
}
