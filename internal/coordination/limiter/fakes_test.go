package limiter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// errUnreachable is the error of operations on a log that is not reachable.
var errUnreachable = errors.New("log is not reachable")

// fakeLog is a log that every fakeJournal replays immediately, unless it is
// isolated.
type fakeLog struct {
	mu       sync.Mutex
	frames   []protocol.Frame
	journals []*fakeJournal
	// intercept, if set, is called in place of an append. It may call forward
	// to append the record.
	intercept func(by protocol.InstanceID, rec protocol.Record, forward func())
	sessions  protocol.SessionID
}

// newSession returns a new session id.
func (l *fakeLog) newSession() protocol.SessionID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions++
	return l.sessions
}

func (l *fakeLog) append(rec protocol.Record) protocol.Offset {
	l.mu.Lock()
	l.frames = append(l.frames, protocol.Frame{Records: []protocol.Record{rec}})
	at := protocol.Offset(len(l.frames) - 1)
	journals := append([]*fakeJournal(nil), l.journals...)
	l.mu.Unlock()
	for _, j := range journals {
		j.catchUp()
	}
	return at
}

func (l *fakeLog) from(at int) []protocol.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frames[at:]
}

// fakeJournal is a coordination.Journal on a fakeLog. The test sets whether the
// session is valid and whether the log is reachable.
type fakeJournal struct {
	log      *fakeLog
	instance protocol.InstanceID
	domain   protocol.Domain
	address  string
	// writing admits one record at a time. It is a channel because virtual time
	// does not advance while a goroutine waits for a mutex.
	writing chan struct{}
	mu      sync.Mutex

	state    *replica.State
	applied  int
	verdicts map[protocol.RecordID]coordination.Outcome
	session  protocol.SessionID
	seq      uint64
	isolated bool
	// terminated is true once the process has terminated.
	terminated bool
	mayHold    bool
	changed    chan struct{}
	// stall is how long the process does not run at its next use of the session.
	stall time.Duration
}

func newFakeJournal(l *fakeLog, instance protocol.InstanceID, domain protocol.Domain, address string) *fakeJournal {
	j := &fakeJournal{
		log: l, instance: instance, domain: domain, address: address, writing: make(chan struct{}, 1),
		state: replica.New(), verdicts: map[protocol.RecordID]coordination.Outcome{},
		session: l.newSession(), mayHold: true, changed: make(chan struct{}),
	}
	l.mu.Lock()
	l.journals = append(l.journals, j)
	l.mu.Unlock()
	j.open()
	return j
}

func (j *fakeJournal) isTerminated() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.terminated
}

// terminate ends the process.
func (j *fakeJournal) terminate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.terminated = true
}

func (j *fakeJournal) open() {
	j.submit(protocol.Record{SessionOpen: &protocol.SessionOpen{Instance: j.instance, Domain: j.domain, PeerAddress: j.address}})
}

// reopen opens a new session if the current one has ended.
func (j *fakeJournal) reopen() {
	j.mu.Lock()
	sessionEnded := !j.isolated && j.state.Sessions.Ended(j.session)
	if sessionEnded {
		j.session, j.seq, j.mayHold = j.log.newSession(), 0, true
	}
	j.mu.Unlock()
	if sessionEnded {
		j.open()
	}
}

func (j *fakeJournal) catchUp() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isolated {
		return
	}
	frames := j.log.from(j.applied)
	for _, frame := range frames {
		at := protocol.Offset(j.applied)
		for i, decision := range j.state.Apply(at, frame) {
			j.verdicts[frame.Records[i].ID] = coordination.Outcome{Verdict: decision, Offset: at, Run: protocol.Completed}
		}
		j.applied++
	}
	if len(frames) > 0 {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

func (j *fakeJournal) setIsolated(isolated, mayHold bool) {
	j.mu.Lock()
	j.isolated, j.mayHold = isolated, mayHold
	j.mu.Unlock()
	j.catchUp()
}

// renew keeps the session open while the log is reachable.
func (j *fakeJournal) renew(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Second):
			if j.isTerminated() {
				return
			}
			j.reopen()
			j.submit(protocol.Record{SessionRenew: &protocol.SessionRenew{}})
		}
	}
}

func (j *fakeJournal) submit(rec protocol.Record) coordination.Outcome {
	j.writing <- struct{}{}
	defer func() { <-j.writing }()
	j.mu.Lock()
	if j.isolated {
		j.mu.Unlock()
		return coordination.Outcome{Run: protocol.NotRun, Err: errUnreachable}
	}
	j.seq++
	rec.ID = protocol.RecordID{Session: j.session, Seq: j.seq}
	j.mu.Unlock()
	j.log.mu.Lock()
	intercept := j.log.intercept
	j.log.mu.Unlock()
	if intercept != nil {
		intercept(j.instance, rec, func() { j.log.append(rec) })
	} else {
		j.log.append(rec)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	outcome, ok := j.verdicts[rec.ID]
	if !ok {
		return coordination.Outcome{Run: protocol.MayHaveRun, Err: errUnreachable}
	}
	return outcome
}

func (j *fakeJournal) Submit(_ context.Context, rec protocol.Record) coordination.Outcome {
	return j.submit(rec)
}

func (j *fakeJournal) View(read func(*replica.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read(j.state)
}

func (j *fakeJournal) Fleet() *protocol.Fleet {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Fleet.Fleet()
}

// stallNext makes the process stall at its next use of the session. Its services must be
// stopped, since virtual time does not advance while one of them waits for a mutex.
func (j *fakeJournal) stallNext(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stall = d
}

func (j *fakeJournal) takeStall() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.stall
	j.stall = 0
	return d
}

func (j *fakeJournal) Session() protocol.SessionID {
	if d := j.takeStall(); d > 0 {
		sleep(d)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.session
}

func (j *fakeJournal) MayHold() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.mayHold
}

func (j *fakeJournal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

func (j *fakeJournal) LogUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.isolated
}

func (j *fakeJournal) AppendData(context.Context, []byte) (protocol.Offset, error) {
	return protocol.NoOffset, errUnreachable
}

func (j *fakeJournal) ReadData(context.Context, protocol.Offset) ([]byte, error) {
	return nil, errUnreachable
}

// fakeNet connects limiters. Calls to stopped instances and between partitioned
// domains are not answered.
type fakeNet struct {
	mu          sync.Mutex
	limiters    map[protocol.InstanceID]*Limiter
	down        map[protocol.InstanceID]bool
	partitioned map[[2]protocol.Domain]bool
	// intercept, if set, is called in place of the delivery of a call. It may
	// call deliver.
	intercept func(ctx context.Context, by protocol.InstanceID, method string, deliver func() error) error
}

func newFakeNet() *fakeNet {
	return &fakeNet{
		limiters:    map[protocol.InstanceID]*Limiter{},
		down:        map[protocol.InstanceID]bool{},
		partitioned: map[[2]protocol.Domain]bool{},
	}
}

func (n *fakeNet) partitionDomains(a, b protocol.Domain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]protocol.Domain{a, b}] = true
	n.partitioned[[2]protocol.Domain{b, a}] = true
}

func (n *fakeNet) stop(id protocol.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[id] = true
}

// fakePeers implements coordination.Peers for one instance on a fakeNet.
type fakePeers struct {
	net    *fakeNet
	self   protocol.InstanceID
	domain protocol.Domain
}

func (p *fakePeers) List() []coordination.Peer { return nil }

func (p *fakePeers) Call(ctx context.Context, to protocol.InstanceID, method string, args, reply any) error {
	p.net.mu.Lock()
	l := p.net.limiters[to]
	unreachable := l == nil || p.net.down[to] || p.net.down[p.self] || p.net.partitioned[[2]protocol.Domain{p.domain, l.Domain}]
	intercept := p.net.intercept
	p.net.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(200 * time.Microsecond):
	case <-ctx.Done():
		return ctx.Err()
	}
	deliver := func() error { return deliverTo(l.Endpoint(), method, args, reply) }
	if intercept != nil {
		return intercept(ctx, p.self, method, deliver)
	}
	return deliver()
}

func deliverTo(e *Endpoint, method string, args, reply any) error {
	switch a := args.(type) {
	case *TakeArgs:
		return e.Take(a, reply.(*TakeReply))
	case *PromiseArgs:
		return e.Promise(a, reply.(*PromiseReply))
	case *VersionArgs:
		return e.Version(a, reply.(*VersionReply))
	case *HandoverArgs:
		return e.Handover(a, reply.(*HandoverReply))
	case *GoneArgs:
		return e.Gone(a, reply.(*GoneReply))
	}
	return errors.New("unknown method " + method)
}

// fakeFleet is a set of limiters with running services.
type fakeFleet struct {
	t   *testing.T
	log *fakeLog
	net *fakeNet
	all map[protocol.InstanceID]*Limiter
	// services are running until stopServices.
	services     context.Context
	stopServices context.CancelFunc
}

func newFakeFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{t: t, log: &fakeLog{}, net: newFakeNet(), all: map[protocol.InstanceID]*Limiter{}}
	f.services, f.stopServices = context.WithCancel(t.Context())
	return f
}

func (f *fakeFleet) start(id protocol.InstanceID, domain protocol.Domain) *Limiter {
	f.t.Helper()
	return f.startAt(id, domain, "host-"+string(id))
}

func (f *fakeFleet) startAt(id protocol.InstanceID, domain protocol.Domain, address string) *Limiter {
	f.t.Helper()
	journal := newFakeJournal(f.log, id, domain, address)
	l := New(Config{
		Self: id, Domain: domain, Address: address, Journal: journal,
		Peers:    &fakePeers{net: f.net, self: id, domain: domain},
		Settings: testSettings(), Logger: log.NewNopLogger(),
	})
	f.net.mu.Lock()
	f.net.limiters[id] = l
	delete(f.net.down, id)
	f.net.mu.Unlock()
	f.all[id] = l
	super := suture.NewSimple(string(id))
	for _, s := range l.Services() {
		super.Add(s)
	}
	super.ServeBackground(f.services)
	go journal.renew(f.t.Context())
	return l
}

func (f *fakeFleet) journal(id protocol.InstanceID) *fakeJournal {
	return f.all[id].Journal.(*fakeJournal)
}

// configure publishes a configuration through one instance. It retries every
// second until the change is accepted, as an operator would.
func (f *fakeFleet) configure(through protocol.InstanceID, shares map[protocol.Domain]protocol.DomainShare, orgs ...protocol.Organisation) {
	f.t.Helper()
	j := f.journal(through)
	for {
		change := &protocol.FleetChange{BasedOn: j.Fleet().Version, ChangeID: string(through) + time.Now().String()}
		for _, share := range shares {
			change.Set = append(change.Set, protocol.FleetObject{Domain: &share})
		}
		for _, org := range orgs {
			change.Set = append(change.Set, protocol.FleetObject{Organisation: &org})
		}
		if j.submit(protocol.Record{FleetChange: change}).Accepted() {
			return
		}
		sleep(time.Second)
	}
}

// expire expires a session through another instance.
func (f *fakeFleet) expire(through protocol.InstanceID, session protocol.SessionID) {
	f.t.Helper()
	j := f.journal(through)
	var last protocol.Offset
	j.View(func(s *replica.State) {
		info, _ := s.Sessions.Get(session)
		last = info.LastRenewal
	})
	if outcome := j.submit(protocol.Record{SessionExpire: &protocol.SessionExpire{Session: session, LastRenewal: last}}); !outcome.Accepted() {
		f.t.Fatalf("session not expired: %+v", outcome)
	}
}

// countAdmitted sends a number of requests to an instance and returns how many
// it admits.
func (f *fakeFleet) countAdmitted(id protocol.InstanceID, org protocol.OrganisationID, requests int) int {
	f.t.Helper()
	count := 0
	for range requests {
		if f.all[id].Admit(f.t.Context(), org, 1) == nil {
			count++
		}
	}
	return count
}

func sleep(d time.Duration) { <-time.After(d) }

// mustExist returns the id of an instance and fails the test if there is no
// such instance.
func (f *fakeFleet) mustExist(name string) protocol.InstanceID {
	f.t.Helper()
	id := protocol.InstanceID(name)
	if f.all[id] == nil {
		f.t.Fatalf("no instance %s", name)
	}
	return id
}

// usableSlots returns the slots that an instance may use now.
func (f *fakeFleet) usableSlots(id protocol.InstanceID) []SlotKey {
	l := f.all[id]
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshUsableUntil(now)
	var keys []SlotKey
	for slot := range SlotsPerDomain {
		key := SlotKey{Domain: l.Domain, Slot: slot}
		if l.core.MayUse(now, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// testSettings returns settings with a short grace period, because a simulated
// hour takes seconds of real time.
func testSettings() Settings {
	settings := Defaults()
	settings.GracePeriod = 10 * time.Minute
	return settings
}
