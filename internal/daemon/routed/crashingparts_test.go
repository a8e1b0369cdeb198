package routed

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

const (
	// crashingPart is the id of a part whose requests crash the targets that answer them.
	crashingPart = "dead"
	// targetRestartTime is the time from the crash of a target until another one is at its address.
	targetRestartTime = 2 * time.Second
	// settledAfter is the time after the fifth crash from which users count the requests with
	// the part that still reach targets, toleratedRequests is how many they tolerate.
	settledAfter      = 3 * time.Second
	toleratedRequests = 3
	// soundShare is the part of what was served before the first crash that has to be served from
	// recoveredAfter after the fifth crash on.
	soundShare     = 0.95
	recoveredAfter = 6 * time.Second
)

// crashLoad describes the requests of a test with a crashing part.
type crashLoad struct {
	// prompt returns the prompt of a request with the crashing part.
	prompt func(own string) string
	// perSecond is the number of such requests, soundPerSecond that of the others.
	perSecond, soundPerSecond float64
	// soundPrompt returns the prompt of another request.
	soundPrompt func(rng *rand.Rand, own string) string
	path        string
	seed        uint64
	// faultFor, if set, returns the fault of the answer to a request.
	faultFor func(id string) engine.Fault
	// crashesAt, if set, reports whether a target crashes instead of writing event n of a run.
	crashesAt func(run *engine.Run, n int) bool
}

// crashFleet is a fleet whose targets crash at requests with crashingPart, and restart under
// another id.
type crashFleet struct {
	*testFleet
	load crashLoad

	mu      sync.Mutex
	crashes []time.Time
	// crashesOf are the crashes by the part that caused them.
	crashesOf map[string][]time.Time
	// endsOf are the targets that crashed under requests with crashesAt, by the id that the request
	// had at first.
	endsOf map[string][]targetEnd
	starts int
	sound  []soundRequest
	// mended reports that targets bear the crashing part.
	mended atomic.Bool
	// restart, if set, replaces a target that has crashed. By default another one is at its address after
	// targetRestartTime.
	restart func(crashed *target)
}

// soundRequest is a request without the crashing part, with all tries of its caller.
type soundRequest struct {
	at time.Time
	// first reports that it was answered at the caller's first try, served that it was answered
	// at any.
	first, served bool
	status        int
}

func newCrashFleet(t *testing.T, size fleetSize, load crashLoad) *crashFleet {
	f := &crashFleet{load: load, crashesOf: map[string][]time.Time{}, endsOf: map[string][]targetEnd{}}
	f.testFleet = newTestFleet(t, fleetSize{domains: size.domains, instances: size.instances})
	for d := range size.domains {
		for i := range size.targets {
			f.startTarget(fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.%d", d, i+1))
		}
	}
	// Targets warm up for three seconds.
	sleep(5 * time.Second)
	return f
}

// startTarget starts a target that is replaced by another one when it crashes.
func (f *crashFleet) startTarget(domain, ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	started := f.newCrashingTarget(fmt.Sprintf("t-%d", f.starts), domain, ip)
	started.listen()
	started.register()
	f.background.Go(started.heartbeatLoop)
}

// newCrashingTarget returns a target that neither listens nor is listed yet. The caller holds the lock.
func (f *crashFleet) newCrashingTarget(id, domain, ip string) *target {
	opts := engine.Options{
		Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond, FaultFor: f.load.faultFor,
	}
	var started *target
	once := sync.OnceFunc(func() { f.crash(started) })
	part := ""
	opts.Crashes = func(prompt string) bool {
		found := crashingPartOf(prompt)
		if found == "" || f.mended.Load() {
			return false
		}
		part = found
		return true
	}
	if f.load.crashesAt != nil {
		opts.CrashesAt = func(run *engine.Run, n int) bool {
			if !f.load.crashesAt(run, n) {
				return false
			}
			f.requestCrashed(started, run, n)
			return true
		}
	}
	opts.OnCrash = func() {
		f.mu.Lock()
		if !started.silent {
			f.crashesOf[part] = append(f.crashesOf[part], time.Now())
		}
		f.mu.Unlock()
		once()
	}
	started = f.newTarget(id, domain, ip, opts)
	return started
}

// crashingPartOf returns the part of a prompt that crashes targets, "" if there is none.
func crashingPartOf(prompt string) string {
	for part := range strings.SplitSeq(prompt, ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasSuffix(id, crashingPart) {
			return id
		}
	}
	return ""
}

// lateOf returns the number of requests with a part that reached targets later than settledAfter
// after the fifth crash under this part.
func (f *crashFleet) lateOf(part string) (count int) {
	crashes := f.crashesOf[part]
	if len(crashes) < 5 {
		return 0
	}
	for _, t := range f.targets {
		for _, run := range t.Runs() {
			if crashingPartOf(run.Prompt) == part && run.StartedAt.After(crashes[4].Add(settledAfter)) {
				count++
			}
		}
	}
	return count
}

// crash ends the process of a target.
func (f *crashFleet) crash(t *target) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	t.silent, t.endedAt = true, time.Now()
	f.mu.Unlock()
	f.net.Kill(t.ip)
	_ = t.server.Close()
	if f.restart != nil {
		f.restart(t)
		return
	}
	time.AfterFunc(targetRestartTime, func() {
		if f.ctx.Err() != nil {
			return
		}
		f.store.Put("keyed.servers", t.id, nil)
		f.startTarget(t.domain, t.ip)
	})
}

// crashEvent is what happens at some time while requests are sent.
type crashEvent struct {
	at time.Duration
	do func()
}

// serve sends sound requests for a time, and from a moment on others with the crashing part. The
// events are in the order of time.
func (f *crashFleet) serve(d, crashingAfter time.Duration, events ...crashEvent) {
	rng := rand.New(rand.NewPCG(f.load.seed, 47))
	var callers sync.WaitGroup
	from := time.Now()
	next := [2]time.Duration{0, crashingAfter}
	rates := [2]float64{f.load.soundPerSecond, f.load.perSecond}
	for i := 0; ; i++ {
		kind := 0
		if next[1] < next[0] && rates[1] > 0 {
			kind = 1
		}
		if next[kind] > d {
			break
		}
		for ; len(events) > 0 && events[0].at <= next[kind]; events = events[1:] {
			sleep(events[0].at - time.Since(from))
			events[0].do()
		}
		sleep(next[kind] - time.Since(from))
		next[kind] += time.Duration(rng.ExpFloat64() / rates[kind] * float64(time.Second))
		own := fmt.Sprintf("%04x", i)
		prompt := f.load.soundPrompt(rng, own)
		if kind == 1 {
			prompt = f.load.prompt(own)
		}
		order := rng.Perm(len(f.instances))[:2]
		callers.Go(func() { f.request(kind == 0, fmt.Sprint("r-", i), prompt, order) })
	}
	callers.Wait()
}

// request sends a request, and once more at another instance if the first one has not served it.
func (f *crashFleet) request(sound bool, id, prompt string, order []int) {
	r := soundRequest{at: time.Now()}
	for n, at := range order {
		got := f.instances[at].send(callerRequest{
			id: fmt.Sprint(id, "-", n), path: f.load.path, key: keyOne,
			header: map[string]string{"Prompt-Prefix": prompt, "Token-Count": "450,35", "Model": "m"},
		})
		r.served = got.err == nil && got.status == 200
		r.first = n == 0 && r.served
		r.status = got.status
		if r.served || got.status != 503 && got.status != 0 {
			break
		}
	}
	if sound {
		f.mu.Lock()
		f.sound = append(f.sound, r)
		f.mu.Unlock()
	}
}

// firstShare returns the part of the sound requests between two times that were served at the
// first try of their callers.
func (f *crashFleet) firstShare(from, to time.Time) float64 {
	first, all := 0, 0
	for _, r := range f.sound {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		all++
		if r.first {
			first++
		}
	}
	return float64(first) / float64(max(1, all))
}

// reachedAfter returns the number of requests with the crashing part that reached targets after a
// time.
func (f *crashFleet) reachedAfter(at time.Time) (count int) {
	for _, t := range f.targets {
		for _, run := range t.Runs() {
			if strings.Contains(run.Prompt, crashingPart+":") && run.StartedAt.After(at) {
				count++
			}
		}
	}
	return count
}

var closedPart = regexp.MustCompile(`event=part_closed from=\S+ closed_parts=(\S+)`)

// closedParts returns the parts that instances closed.
func (f *crashFleet) closedParts() map[string]int {
	out := map[string]int{}
	for _, inst := range f.instances {
		for _, match := range closedPart.FindAllStringSubmatch(inst.logs.String(), -1) {
			out[match[1]]++
		}
	}
	return out
}

// crashFigures are what a run with a crashing part is judged by.
type crashFigures struct {
	crashes, reached int
	before, after    float64
	closed           map[string]int
}

func (f *crashFleet) figures(start time.Time, crashingAfter, d time.Duration) crashFigures {
	out := crashFigures{crashes: len(f.crashes), closed: f.closedParts(), before: f.firstShare(start, start.Add(crashingAfter))}
	if len(f.crashes) >= 5 {
		fifth := f.crashes[4]
		out.reached = f.reachedAfter(fifth.Add(settledAfter))
		out.after = f.firstShare(fifth.Add(recoveredAfter), start.Add(d))
	}
	return out
}

// thirtyParts returns a prompt with a popular part and one of thirty others.
func thirtyParts(rng *rand.Rand, own string) string {
	return fmt.Sprintf("f1:200,b%02d:100,%s:250", rng.IntN(30), own)
}

// requireClosed requires that each instance has closed something, and nothing that concerns sound
// requests: parts that no crash tells from the crashing one are closed only together with it.
func (f *crashFleet) requireClosed(closed map[string]int) {
	f.t.Helper()
	for parts := range closed {
		require.Contains(f.t, parts, crashingPart, "concerns sound requests")
	}
	for _, inst := range f.instances {
		require.Regexp(f.t, closedPart, inst.logs.String(), inst.name)
	}
}

var crashLoads = map[string]crashLoad{
	"second part": {prompt: func(own string) string { return "f1:200," + crashingPart + ":100," + own + ":250" }, perSecond: 4, soundPerSecond: 36},
	"first part":  {prompt: func(own string) string { return crashingPart + ":200,b07:100," + own + ":250" }, perSecond: 4, soundPerSecond: 36},
	"third part":  {prompt: func(own string) string { return "f1:200,b07:100," + crashingPart + ":10," + own + ":250" }, perSecond: 1, soundPerSecond: 36},
	"once":        {prompt: func(own string) string { return "f1:200," + crashingPart + ":100," + own + ":250" }, perSecond: 8, soundPerSecond: 36, path: "/once/a/35"},
}

// Guards against requests with one part in their prompts that crash one target after the other.
func TestRequestsWithCrashingPartStopReachingTargets(t *testing.T) {
	for name, load := range crashLoads {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					if load.path == "" {
						load.path = "/again/a/35"
					}
					load.seed, load.soundPrompt = seed, thirtyParts
					f := newCrashFleet(t, fleetSize{domains: 3, instances: 3, targets: 3}, load)
					start := time.Now()
					f.serve(20*time.Second, 4*time.Second)
					got := f.figures(start, 4*time.Second, 20*time.Second)
					t.Logf("%+v", got)
					require.GreaterOrEqual(t, got.crashes, 4)
					require.LessOrEqual(t, got.reached, toleratedRequests)
					require.GreaterOrEqual(t, got.after, soundShare*got.before)
					f.requireClosed(got.closed)
				})
			})
		}
	}
}
