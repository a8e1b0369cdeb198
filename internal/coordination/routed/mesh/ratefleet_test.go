package mesh

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

const (
	// hotOrg sends several times its rate, usualOrg stays below its own.
	hotOrg, usualOrg = "hot", "usual"
	// usualLoad is the part of its rate that an organisation usually sends.
	usualLoad = 1 / 1.6
	// window is the time in which the users count requests.
	window = 5 * time.Second
	// storeCall is the time of a call to the store, storeTimeout the time after which a call
	// is given up.
	storeCall    = 8 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	rateSeeds    = 3
	// configApplyTime is the time in which a configuration is to be in force everywhere.
	configApplyTime = 3 * time.Second
)

// tolerated is the number of requests of an organisation that users tolerate in a window.
func tolerated(l quota.Limit) int {
	return int((window.Seconds()*l.Rate+l.Burst)*1.1 + 20)
}

// rateFleet is a fleet of meshes and limiters in memory, whose targets count the requests that
// they run. It must be used in a synctest bubble.
type rateFleet struct {
	t      *testing.T
	random *rand.Rand
	places []*place
	// load is what each organisation sends, as a multiple of its rate.
	load map[string]float64
	// again is the part of the requests that run at a second target.
	again float64
	// returns reports that callers who are told when to come back do so once.
	returns bool
	stop    context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	at      map[string]*process
	blocked func(from, to Instance) bool
	// list is the store's list of instances, limits its configuration of version. history are
	// the limits that were published.
	list    map[string]Instance
	limits  map[string]quota.Limit
	version int64
	history []publishedLimits
	// storeDown reports whether an instance gets no answer from the store, storeCall is the time
	// of a call to it.
	storeDown func(Instance) bool
	storeCall time.Duration

	// guardFor, if set, returns the guard of a process against parts that crash targets.
	guardFor func(ctx context.Context, name string) *quarantine.Guard
	// onReport, if set, is called for each quarantine report that an instance sends, nil if a
	// message has none.
	onReport func(from string, report *quarantine.Report)

	runs    map[string][]run
	asked   map[string]int
	refused map[string]int
}

// run is a request that a target ran.
type run struct {
	at       time.Time
	instance string
	decision quota.Decision
}

// publishedLimits are limits that were published at some time.
type publishedLimits struct {
	at     time.Time
	limits map[string]quota.Limit
}

// place is where processes of one instance run, one after the other.
type place struct {
	name, domain, address string
	process               *process
	starts                int64
}

// process is an incarnation of an instance.
type process struct {
	*Mesh
	fleet   *rateFleet
	limiter *quota.Limiter
	// guard is set in fleets whose targets crash.
	guard *quarantine.Guard
	stop  context.CancelFunc

	mu      sync.Mutex
	version int64
	limits  map[string]quota.Limit
	leaving bool
}

func newRateFleet(t *testing.T, seed uint64, size int, limits map[string]quota.Limit) *rateFleet {
	return newGuardedFleet(t, seed, size, limits, nil)
}

// newGuardedFleet returns a fleet whose processes have guards.
func newGuardedFleet(t *testing.T, seed uint64, size int, limits map[string]quota.Limit, guardFor func(context.Context, string) *quarantine.Guard) *rateFleet {
	f := &rateFleet{
		guardFor: guardFor,

		t: t, random: rand.New(rand.NewPCG(seed, 44)), load: map[string]float64{}, at: map[string]*process{},
		list: map[string]Instance{}, limits: limits, version: 1, storeCall: storeCall,
		history: []publishedLimits{{time.Now(), limits}},
		runs:    map[string][]run{}, asked: map[string]int{}, refused: map[string]int{},
	}
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() {
		f.stop()
		sleep(2 * storeTimeout)
	})
	for org := range limits {
		f.load[org] = usualLoad
	}
	f.addPlaces(size)
	f.serve(6 * time.Second)
	f.forget()
	return f
}

// addPlaces starts additional instances.
func (f *rateFleet) addPlaces(count int) {
	first := len(f.places)
	for n := first; n < first+count; n++ {
		domain := string(rune('a' + n%3))
		f.places = append(f.places, &place{name: fmt.Sprintf("%s-%d", domain, n), domain: domain, address: fmt.Sprintf("%d.%s:1", n, domain)})
	}
	for _, p := range f.places[first:] {
		f.start(p)
	}
}

// forget drops what was counted until now.
func (f *rateFleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs, f.asked, f.refused = map[string][]run{}, map[string]int{}, map[string]int{}
}

// start starts a process.
func (f *rateFleet) start(p *place) {
	p.starts++
	self := Instance{Name: p.name, Domain: p.domain, Address: p.address, Start: time.Now().UnixMilli()*100 + p.starts, Strength: len(p.name)}
	ctx, stop := context.WithCancel(f.ctx)
	var seeds []string
	for _, seed := range f.places[:rateSeeds] {
		seeds = append(seeds, seed.address)
	}
	pr := &process{fleet: f, limiter: quota.NewLimiter(p.name), stop: stop}
	if f.guardFor != nil {
		pr.guard = f.guardFor(ctx, p.name)
	}
	pr.Mesh = New(Config{Self: self, Seeds: seeds, Caller: rateCaller{f, self}, Logger: log.NewNopLogger()})
	pr.SetDelegate(pr)
	p.process = pr
	f.mu.Lock()
	f.at[p.address] = pr
	f.mu.Unlock()
	go func() { _ = pr.Mesh.Serve(ctx) }()
	if pr.guard != nil {
		go func() { _ = pr.Mesh.Notifier(pr.guard.Urgent()).Serve(ctx) }()
	}
	go pr.register(ctx)
	go pr.readConfig(ctx)
}

// kill ends a process. Connections to it are refused afterwards.
func (f *rateFleet) kill(p *place) {
	if p.process == nil {
		return
	}
	p.process.stop()
	f.mu.Lock()
	delete(f.at, p.address)
	f.mu.Unlock()
	p.process = nil
}

// rateCaller is the protocol.Caller of one process.
type rateCaller struct {
	*rateFleet
	from Instance
}

func (c rateCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	to, blocked := c.at[address], c.blocked
	c.mu.Unlock()
	if to != nil && blocked != nil && blocked(c.from, to.Self()) {
		<-ctx.Done()
		return ctx.Err()
	}
	sleep(time.Millisecond)
	if to == nil {
		return syscall.ECONNREFUSED
	}
	if method == methodExchange {
		err := to.Receiver().Exchange(args.(*Heartbeat), reply.(*Heartbeat))
		if c.onReport != nil {
			c.onReport(c.from.Name, args.(*Heartbeat).Quarantine)
			c.onReport(to.Self().Name, reply.(*Heartbeat).Quarantine)
		}
		return err
	}
	if method == methodNotify {
		if c.onReport != nil {
			c.onReport(c.from.Name, args.(*Notice).Report)
		}
		return to.Receiver().Notify(args.(*Notice), reply.(*NoticeReply))
	}
	return to.Receiver().Snapshot(args.(*SnapshotArgs), reply.(*SnapshotReply))
}

// storeAnswers waits for the time of a call to the store and reports whether it answered.
func (pr *process) storeAnswers(ctx context.Context) bool {
	f := pr.fleet
	f.mu.Lock()
	down, call := f.storeDown != nil && f.storeDown(pr.Self()), f.storeCall
	f.mu.Unlock()
	if down {
		sleep(storeTimeout)
		return false
	}
	sleep(call)
	return ctx.Err() == nil
}

// register adds the process to the store's list and reads the list, as the daemon does.
func (pr *process) register(ctx context.Context) {
	f := pr.fleet
	for listed, reads := false, 0; ctx.Err() == nil; {
		pause := 500 * time.Millisecond
		if !listed {
			listed = pr.storeAnswers(ctx)
			if listed {
				f.mu.Lock()
				f.list[pr.Self().Name] = pr.Self()
				f.mu.Unlock()
			}
		}
		if listed && pr.storeAnswers(ctx) {
			reads++
			var list []Instance
			f.mu.Lock()
			for _, i := range f.list {
				list = append(list, i)
			}
			f.mu.Unlock()
			pr.AddInstances(list, true)
			pause = 10 * time.Second
			if reads == 1 {
				pause = time.Second
			}
		}
		wait.For(ctx, pause)
	}
}

// readConfig reads the configuration from the store.
func (pr *process) readConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if pr.storeAnswers(ctx) {
			pr.fleet.mu.Lock()
			version, limits := pr.fleet.version, pr.fleet.limits
			pr.fleet.mu.Unlock()
			pr.adopt(version, limits)
		}
		wait.For(ctx, 200*time.Millisecond)
	}
}

func (pr *process) adopt(version int64, limits map[string]quota.Limit) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if version <= pr.version {
		return
	}
	pr.version, pr.limits = version, limits
	var list []route.Organisation
	for name, l := range limits {
		list = append(list, route.Organisation{Name: name, Rate: l.Rate, Burst: l.Burst})
	}
	pr.limiter.SetOrganisations(version, list)
}

func (pr *process) configured() int64 {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.version
}

// The methods of Delegate.

func (pr *process) Versions() Versions { return Versions{Config: pr.configured()} }

func (pr *process) FillHeartbeat(heartbeat *Heartbeat) {
	pr.mu.Lock()
	heartbeat.Leaving = pr.leaving
	pr.mu.Unlock()
	heartbeat.SetRates(pr.limiter)
}

func (pr *process) SnapshotSince(args SnapshotArgs) SnapshotReply {
	if version := pr.configured(); version > args.ConfigVersion {
		return SnapshotReply{Config: binary.AppendVarint(nil, version)}
	}
	return SnapshotReply{}
}

func (pr *process) ApplySnapshot(reply SnapshotReply) {
	if len(reply.Config) == 0 {
		return
	}
	version, _ := binary.Varint(reply.Config)
	pr.fleet.mu.Lock()
	limits := pr.fleet.limits
	pr.fleet.mu.Unlock()
	pr.adopt(version, limits)
}

func (pr *process) HeartbeatReceived(heartbeat Heartbeat, silenceTimeout time.Duration) {
	pr.limiter.ApplyReport(heartbeat.RateReport(silenceTimeout))
}

func (pr *process) PeersConfirmedAlive(alive []quota.Liveness) { pr.limiter.ConfirmAlive(alive) }
func (pr *process) PeerSilent(Instance)                        {}
func (pr *process) PeerDown(name string)                       { pr.limiter.MarkDown(name) }
func (pr *process) SetDomainSilent(string, bool)               {}
func (pr *process) Ticked(next time.Duration)                  { pr.limiter.Tick(next) }
func (pr *process) FleetKnown()                                { pr.limiter.SetFleetKnown() }
func (pr *process) PeerDiscovered(name string)                 { pr.limiter.AddPeer(name) }

func (pr *process) QuarantineSince(version uint64, ownEnds bool) *quarantine.Report {
	if pr.guard == nil {
		return nil
	}
	return pr.guard.Since(version, ownEnds)
}

func (pr *process) QuarantineReceived(from string, report *quarantine.Report) {
	pr.guard.Merge(from, report)
}

// serve sends requests for a duration.
func (f *rateFleet) serve(d time.Duration) {
	const step = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		for _, org := range []string{hotOrg, usualOrg} {
			f.mu.Lock()
			limit := f.limits[org]
			f.mu.Unlock()
			for due := f.load[org] * limit.Rate * step.Seconds(); f.random.Float64() < due; due-- {
				f.request(org)
			}
		}
		sleep(step)
	}
}

// request sends a request to an instance that serves callers.
func (f *rateFleet) request(org string) {
	p := f.places[f.random.IntN(len(f.places))]
	again := f.random.Float64() < f.again
	if p.process == nil || p.process.configured() == 0 {
		return
	}
	d := p.process.limiter.Admit(org)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[org]++
	if !d.Admitted {
		f.refused[org]++
		if f.returns {
			time.AfterFunc(d.Wait, func() { f.returnOf(org) })
		}
		return
	}
	f.runs[org] = append(f.runs[org], run{time.Now(), p.name, d})
	if again {
		f.runs[org] = append(f.runs[org], run{time.Now(), p.name, d})
	}
}

// returnOf sends a request once more, to some instance.
func (f *rateFleet) returnOf(org string) {
	f.mu.Lock()
	p := f.places[f.random.IntN(len(f.places))]
	process := p.process
	f.mu.Unlock()
	if process == nil || process.configured() == 0 {
		return
	}
	d := process.limiter.Admit(org)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[org]++
	if d.Admitted {
		f.runs[org] = append(f.runs[org], run{time.Now(), p.name, d})
	} else {
		f.refused[org]++
	}
}

// busyWindow is a window in which targets ran many requests of an organisation.
type busyWindow struct {
	from           time.Time
	ran, tolerated int
}

// worstWindow returns the window with the most requests in relation to what users tolerate.
func (f *rateFleet) worstWindow(org string) (worst busyWindow) {
	runs, first := f.runs[org], 0
	worst.tolerated = f.toleratedSince(org, time.Now())
	for i := range runs {
		for runs[i].at.Sub(runs[first].at) > window {
			first++
		}
		w := busyWindow{runs[first].at, i - first + 1, f.toleratedSince(org, runs[first].at)}
		if w.ran*worst.tolerated > worst.ran*w.tolerated {
			worst = w
		}
	}
	return worst
}

// toleratedSince returns what users tolerate in a window from some time on, by the highest limit
// that may be in force in it.
func (f *rateFleet) toleratedSince(org string, from time.Time) (most int) {
	for i, published := range f.history {
		replaced := i+1 < len(f.history) && f.history[i+1].at.Add(configApplyTime).Before(from)
		if !replaced && published.at.Before(from.Add(window)) {
			most = max(most, tolerated(published.limits[org]))
		}
	}
	return most
}
