package mesh

import (
	"bytes"
	"context"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/external"
)

var crashSizes = flag.String("crash-sizes", "9,73,340", "numbers of instances in the test of parts that crash targets")

const (
	deadPart = "dead"
	// beginTime is the time from a request at a target to its first event, restartTime that from
	// a crash of a target to its next start.
	beginTime   = 60 * time.Millisecond
	restartTime = 3 * time.Second
	// stableTime is the time after the fifth crash from which users count requests with the part.
	stableTime = 3 * time.Second
	// toleratedRequests and soundShare are what users tolerate, see the tests of the daemon.
	toleratedRequests = 3
	soundShare        = 0.95
	// controlBytes is what control may send at an instance, in bytes a second.
	controlBytes = 16 << 10
)

// crashTarget is a target that ends when it begins to answer a request with deadPart.
type crashTarget struct {
	id      string
	started int64
	// ended is closed when the target crashes. It is nil while the target is down.
	ended chan struct{}
}

// crashMesh is a fleet of meshes and guards in memory before targets that crash.
type crashMesh struct {
	*rateFleet
	rng *rand.Rand

	mu      sync.Mutex
	targets []*crashTarget
	crashes []time.Time
	// reached are the times at which requests with the part reached targets.
	reached     []time.Time
	sound       map[bool]int
	soundBefore map[bool]int
	stored      map[string]external.KeyedRecord
	logs        lockedBuffer
	// sent are the sizes of the reports that each instance sent, by second, received is their sum.
	sent     map[string]map[int64]int
	received int
}

// countReport counts the bytes of a report.
func (f *crashMesh) countReport(from string, report *quarantine.Report) {
	if report == nil {
		return
	}
	size := sizeOf(report)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent[from] == nil {
		f.sent[from] = map[int64]int{}
	}
	f.sent[from][time.Now().Unix()] += size
	f.received += size
}

// sizeOf returns the size of a report in a message, on a connection that has carried one before.
func sizeOf(report *quarantine.Report) int {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	for range 2 {
		wire.Reset()
		if err := encoder.Encode(report); err != nil {
			panic(err)
		}
	}
	return wire.Len()
}

// lockedBuffer is a buffer that several processes log to.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Refuses implements quarantine.Listener.
func (f *crashMesh) Refuses(_ context.Context, address string) bool {
	sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.id == address {
			return t.ended == nil
		}
	}
	return true
}

// Append and Newest implement quarantine.Store.
func (f *crashMesh) Append(_ context.Context, _ external.Partition, records []external.KeyedRecord, _ int64) (int64, error) {
	sleep(storeCall)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(f.stored, r.Key)
		} else {
			f.stored[r.Key] = r
		}
	}
	return 0, nil
}

func (f *crashMesh) Newest(context.Context, external.Partition) (page external.KeyedPage, err error) {
	sleep(storeCall)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.stored {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func newCrashMesh(t *testing.T, seed uint64, size int) *crashMesh {
	f := &crashMesh{
		rng: rand.New(rand.NewPCG(seed, 50)), sound: map[bool]int{}, soundBefore: map[bool]int{},
		stored: map[string]external.KeyedRecord{}, sent: map[string]map[int64]int{},
	}
	for n := range max(5, size*5/2) {
		f.targets = append(f.targets, &crashTarget{id: fmt.Sprint("t-", n), ended: make(chan struct{})})
	}
	f.rateFleet = newGuardedFleet(t, seed, size, map[string]quota.Limit{hotOrg: {Rate: 1, Burst: 1}, usualOrg: {Rate: 1, Burst: 1}},
		func(ctx context.Context, name string) *quarantine.Guard {
			g := quarantine.New(quarantine.Options{Self: name, Targets: f, Store: f, Seed: seed, Logger: log.NewLogfmtLogger(&f.logs)})
			go func() { _ = g.Serve(ctx) }()
			go func() { _ = g.Checker().Serve(ctx) }()
			go func() { _ = g.Keeper().Serve(ctx) }()
			return g
		})
	f.onReport = f.countReport
	return f
}

// runningTarget returns a target that runs, nil if there is none.
func (f *crashMesh) runningTarget() *crashTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 50 {
		if t := f.targets[f.rng.IntN(len(f.targets))]; t.ended != nil {
			found := *t
			return &found
		}
	}
	return nil
}

// crash ends a target.
func (f *crashMesh) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.id != id || t.ended == nil {
			continue
		}
		close(t.ended)
		t.ended = nil
		f.crashes = append(f.crashes, time.Now())
		time.AfterFunc(restartTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			t.started, t.ended = time.Now().UnixMilli(), make(chan struct{})
		})
	}
}

// ask sends a request to some instance, which sends it to two targets at most. It reports whether
// the first one answered.
func (f *crashMesh) ask(p *place, parts []string) (first bool) {
	guard := p.process.guard
	request := quarantine.Request{Parts: parts}
	dead := parts[len(parts)-1] == deadPart
	for attempt := range 2 {
		t := f.runningTarget()
		if t == nil || guard.Check(request).Closed {
			return false
		}
		if dead {
			f.mu.Lock()
			f.reached = append(f.reached, time.Now())
			f.mu.Unlock()
		}
		timer := time.NewTimer(beginTime)
		select {
		case <-timer.C:
			if !dead {
				guard.Began(request)
				return attempt == 0
			}
			f.crash(t.id)
		case <-t.ended:
			timer.Stop()
		}
		guard.Lost(quarantine.LostRequest{Request: request, Target: t.id, Address: t.id, Started: t.started, At: time.Now()})
	}
	return false
}

// load sends requests for a time, so many sound ones and some with the crashing part a second.
func (f *crashMesh) load(d time.Duration, sound, dead float64, counts map[bool]int) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); sleep(step) {
		f.mu.Lock()
		rng := f.rng
		soundDue, deadDue := poisson(rng, sound*step.Seconds()), poisson(rng, dead*step.Seconds())
		f.mu.Unlock()
		for range soundDue {
			f.mu.Lock()
			p, parts := f.places[rng.IntN(len(f.places))], []string{"f1", fmt.Sprint("b", rng.IntN(300))}
			f.mu.Unlock()
			go func() {
				first := f.ask(p, parts)
				f.mu.Lock()
				defer f.mu.Unlock()
				counts[first]++
			}()
		}
		for range deadDue {
			f.mu.Lock()
			p := f.places[rng.IntN(len(f.places))]
			f.mu.Unlock()
			go f.ask(p, []string{"f1", deadPart})
		}
	}
}

// poisson returns a random number of arrivals with a mean.
func poisson(rng *rand.Rand, mean float64) (count int) {
	for left := mean - rng.ExpFloat64(); left > 0; left -= rng.ExpFloat64() {
		count++
	}
	return count
}

// share returns the part of the requests that were served at the first try.
func share(counts map[bool]int) float64 {
	return float64(counts[true]) / float64(max(1, counts[true]+counts[false]))
}

// Guards against requests with a crashing part that reach further targets while the news of the
// crashes travels through a large fleet, and against reports that take more than control may.
func TestCrashingPartIsClosedInFleetsOfAllSizes(t *testing.T) {
	for size := range strings.SplitSeq(*crashSizes, ",") {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var instances int
				_, err := fmt.Sscan(size, &instances)
				require.NoError(t, err)
				f := newCrashMesh(t, 1, instances)
				sound, dead := 10*float64(instances), max(4, float64(instances)/20)
				f.load(3*time.Second, sound, dead*0, f.soundBefore)
				f.load(2*time.Second, sound, dead, map[bool]int{})
				f.load(8*time.Second, sound, dead, f.sound)
				sleep(time.Second)
				f.report(t, instances)
			})
		})
	}
}

// report logs the figures of a run and checks them.
func (f *crashMesh) report(t *testing.T, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Greater(t, len(f.crashes), 5)
	fifth, late := f.crashes[4], 0
	for _, at := range f.reached {
		if at.After(fifth.Add(stableTime)) {
			late++
		}
	}
	text := f.logs.text.String()
	closed := strings.Count(text, "event=part_closed")
	all := 0
	for _, p := range f.places {
		report := p.process.guard.Since(0, false)
		require.NotNil(t, report)
		all = max(all, sizeOf(report))
	}
	most := 0
	for _, seconds := range f.sent {
		for _, size := range seconds {
			most = max(most, size)
		}
	}
	t.Logf("%d instances: %d crashes, the last one %v after the fifth; %d requests with the part later than %v after it; closed at %d instances; sound requests at the first try %.3f, before %.3f; whole report %d bytes, reports sent by one instance in a second %d bytes at most, by each in all %d",
		instances, len(f.crashes), f.crashes[len(f.crashes)-1].Sub(fifth).Round(time.Millisecond), late, stableTime, closed, share(f.sound), share(f.soundBefore), all, most, f.received/instances)
	require.LessOrEqual(t, late, toleratedRequests)
	require.Equal(t, instances, closed)
	require.Equal(t, closed, strings.Count(text, "closed_parts="+deadPart+" "))
	require.GreaterOrEqual(t, share(f.sound), soundShare*share(f.soundBefore))
	require.Less(t, all, controlBytes, "what an instance that starts reads at once")
}
