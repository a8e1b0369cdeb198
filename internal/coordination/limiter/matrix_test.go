package limiter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// cellWorld is a fleet under load beside one exact token bucket. The fault
// strikes a1 at a step of its, or everybody.
type cellWorld struct {
	*fakeFleet
	mu     sync.Mutex
	exact  oracle
	above  error
	stop   chan struct{}
	paused map[protocol.InstanceID]bool
	struck bool
	// org is an organisation of which a1 holds a slot.
	org protocol.OrganisationID
}

// The session of a dead or paused instance is expired by its mates after this
// time; its own hold ends before.
const (
	holdTime   = 6 * time.Second
	expireTime = 8 * time.Second
	outage     = 35 * time.Second
)

func newCellWorld(t *testing.T) *cellWorld {
	t.Helper()
	w := &cellWorld{fakeFleet: threeDomains(t), stop: make(chan struct{}), paused: map[protocol.InstanceID]bool{}}
	w.org = w.organisationOf("a1")
	w.exact = oracle{rate: 30, burst: 30, level: 30, at: time.Now()}
	for id := range w.all {
		go w.load(id)
	}
	return w
}

// load makes an instance admit as much as it can.
func (w *cellWorld) load(id protocol.InstanceID) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(150 * time.Millisecond):
			w.squeeze(id)
		}
	}
}

func (w *cellWorld) squeeze(id protocol.InstanceID) {
	for range 5 {
		w.mu.Lock()
		idle := w.paused[id]
		w.mu.Unlock()
		if idle || w.all[id].Admit(w.t.Context(), w.org, 1) != nil {
			return
		}
		w.mu.Lock()
		if err := w.exact.admit(time.Now(), 1); err != nil && w.above == nil {
			w.above = err
		}
		w.mu.Unlock()
	}
}

// loosen lets the exact bucket follow a change of rate.
func (w *cellWorld) loosen(rate, burst float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exact.level = min(w.exact.burst, w.exact.level+w.exact.rate*time.Since(w.exact.at).Seconds())
	w.exact.at = time.Now()
	w.exact.rate, w.exact.burst = rate, burst
}

// first reports whether this is the first time that the step is reached.
func (w *cellWorld) first() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	struck := w.struck
	w.struck = true
	return !struck
}

// freeze stops a1 as a paused process or a dead one, and lets its mates expire
// its session.
func (w *cellWorld) freeze(id protocol.InstanceID) {
	w.net.stop(id)
	w.mu.Lock()
	w.paused[id] = true
	w.mu.Unlock()
	w.loseLog(id)
}

// kill ends a process for good.
func (w *cellWorld) kill(id protocol.InstanceID) {
	w.journal(id).end()
	w.freeze(id)
}

// loseLog cuts an instance off from the log; its session's hold ends in time
// and its mates expire it.
func (w *cellWorld) loseLog(id protocol.InstanceID) {
	j := w.journal(id)
	session := j.Session()
	j.setCut(true, true)
	time.AfterFunc(holdTime, func() { j.setCut(true, false) })
	time.AfterFunc(expireTime, func() { w.expireIfOpen(session) })
}

func (w *cellWorld) expireIfOpen(session protocol.SessionID) {
	j := w.journal("a2")
	last := protocol.NoOffset
	j.View(func(s *replica.State) {
		if info, ok := s.Sessions.Get(session); ok {
			last = info.LastRenewal
		}
	})
	j.submit(protocol.Record{SessionExpire: &protocol.SessionExpire{Session: session, LastRenewal: last}})
}

// organisationOf is an organisation of which an instance holds a slot, so that a
// fault of that instance matters.
func (w *cellWorld) organisationOf(id protocol.InstanceID) protocol.OrganisationID {
	fleet := w.journal(id).Fleet()
	view := w.all[id].agreed.view(fleet)
	for i := range len(fleet.Organisations) {
		org := protocol.OrganisationID(fmt.Sprintf("o%d", i))
		for _, part := range Divide(fleet.Organisations[org], fleet.Domains) {
			if view.Holdings[part.Key].Instance == id {
				return org
			}
		}
	}
	w.t.Fatal("the instance holds nothing")
	return ""
}

// expireDead expires what the outage of the log kept the mates from expiring.
func (w *cellWorld) expireDead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, paused := range w.paused {
		if paused {
			w.expireIfOpen(w.journal(id).Session())
		}
	}
}

// thaw lets a paused a1 go on: it may act before it has read what happened.
func (w *cellWorld) thaw(id protocol.InstanceID) {
	w.net.mu.Lock()
	delete(w.net.down, id)
	w.net.mu.Unlock()
	w.mu.Lock()
	w.paused[id] = false
	w.mu.Unlock()
	w.squeeze(id)
	w.journal(id).setCut(false, false)
}

// cellStep is a step of the limiter with what brings it about.
type cellStep struct {
	name string
	// method is the call, or claim the log record, that the step consists of.
	method string
	claim  bool
	act    func(w *cellWorld)
}

var cellSteps = []cellStep{
	{name: "take", method: ReceiverName + ".Take", act: func(*cellWorld) {}},
	{name: "admit", method: ReceiverName + ".Take", act: func(w *cellWorld) { w.squeeze("a1") }},
	{name: "transfer", method: ReceiverName + ".Handover", act: func(w *cellWorld) {
		w.all["a1"].Leave(w.t.Context())
		w.journal("a1").submit(protocol.Record{SessionClose: &protocol.SessionClose{}})
		// The process ends. If the log was down, its session is still open.
		w.kill("a1")
	}},
	{name: "claim-slot", claim: true, act: func(w *cellWorld) {
		w.kill("a3")
	}},
	{name: "change-rate", method: ReceiverName + ".Version", act: func(w *cellWorld) {
		shares := domains("a", "b", "c")
		shares["a"] = protocol.DomainShare{Domain: "a", Share: 4}
		w.loosen(45, 45)
		w.configure("a2", shares, protocol.Organisation{ID: w.org, Rate: 45, Burst: 45})
	}},
}

// strike is what a fault does when a1 reaches the step. forward does the step.
type strike func(w *cellWorld, forward func() error) error

type cellFault struct {
	name   string
	story  string
	strike strike
	// around strikes at no step of a1 but while it goes on.
	around func(w *cellWorld)
}

var cellFaults = []cellFault{
	{name: "kill-before", story: "a1 dies just before the step. What it held must come back to its mates, once.",
		strike: func(w *cellWorld, _ func() error) error {
			w.kill("a1")
			return errCut
		}},
	{name: "kill-after", story: "a1 dies just after the step took effect. Tokens on their way to it are lost and must not be there twice.",
		strike: func(w *cellWorld, forward func() error) error {
			_ = forward()
			w.kill("a1")
			return errCut
		}},
	{name: "pause-past-lease", story: "a1 is paused in the step until its session has expired and its slots have new holders. It wakes and grants before it has read anything.",
		strike: func(w *cellWorld, forward func() error) error {
			w.freeze("a1")
			pass(outage)
			w.thaw("a1")
			return forward()
		}},
	{name: "log-down", story: "The log is down for everybody, longer than any session holds. Callers must still get their rate, and not more.",
		around: func(w *cellWorld) {
			for id := range w.all {
				w.journal(id).setCut(true, true)
			}
			pass(holdTime)
			for id := range w.all {
				w.journal(id).setCut(true, false)
			}
			pass(outage)
			for id := range w.all {
				if !w.journal(id).gone() {
					w.journal(id).setCut(false, true)
				}
			}
		}},
	{name: "answer-lost", story: "The step takes effect and a1 does not hear of it. It must neither count the tokens nor stop for ever.",
		strike: func(_ *cellWorld, forward func() error) error {
			_ = forward()
			return errCut
		}},
	{name: "duplicate", story: "The network delivers the step twice. Its tokens must not be there twice.",
		strike: func(_ *cellWorld, forward func() error) error {
			_ = forward()
			return forward()
		}},
	{name: "late", story: "The step is held up until the tokens' lives are over, and then its answer comes.",
		strike: func(_ *cellWorld, forward func() error) error {
			pass(600 * time.Millisecond)
			return forward()
		}},
	{name: "cut-from-log", story: "a1 alone loses the log. It goes on by promises while its mates want its slots.",
		strike: func(w *cellWorld, forward func() error) error {
			w.loseLog("a1")
			time.AfterFunc(outage, func() { w.journal("a1").setCut(false, false) })
			return forward()
		}},
	{name: "cut-from-domain", story: "The failure domain a is cut off from the others. Each side has its own part only.",
		around: func(w *cellWorld) {
			w.net.cutDomains("a", "b")
			w.net.cutDomains("a", "c")
			pass(outage)
			w.net.mu.Lock()
			clear(w.net.cut)
			w.net.mu.Unlock()
		}},
	{name: "operators-racing", story: "Two operators publish another rate from the same version. One of them wins, and no instance may mix the two into more than either.",
		around: func(w *cellWorld) {
			w.loosen(45, 45)
			for _, id := range []protocol.InstanceID{"b1", "c1"} {
				j := w.journal(id)
				org := protocol.Organisation{ID: w.org, Rate: 36, Burst: 36}
				j.submit(protocol.Record{FleetChange: &protocol.FleetChange{
					BasedOn: w.journal("b1").Fleet().Version - 1, ChangeID: "race-" + string(id),
					Set: []protocol.FleetObject{{Organisation: &org}},
				}})
			}
			w.configure("b1", nil, protocol.Organisation{ID: w.org, Rate: 40, Burst: 40})
			pass(outage)
		}},
}

// arm makes the fault strike when a1 reaches the step.
func (w *cellWorld) arm(s cellStep, f cellFault) {
	if f.strike == nil {
		return
	}
	w.net.mu.Lock()
	w.net.intercept = func(ctx context.Context, by protocol.InstanceID, method string, deliver func() error) error {
		if s.claim || method != s.method || by != "a1" || !w.first() {
			return deliver()
		}
		err := f.strike(w, deliver)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	w.net.mu.Unlock()
	w.log.mu.Lock()
	w.log.intercept = func(by protocol.InstanceID, rec protocol.Record, forward func()) {
		if !s.claim || rec.LeaseClaim == nil || by != "a1" || !w.first() {
			forward()
			return
		}
		_ = f.strike(w, func() error {
			forward()
			return nil
		})
	}
	w.log.mu.Unlock()
}

func (w *cellWorld) requireWithinRate() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.NoError(w.t, w.above)
}

// requireWhole checks that after all faults the slots have one holder each and
// callers anywhere get the whole burst.
func (w *cellWorld) requireWhole() {
	w.t.Helper()
	close(w.stop)
	pass(40 * time.Second)
	for _, domain := range []string{"a", "b", "c"} {
		w.requireHeld(domain, SlotsPerDomain)
	}
	burst := w.journal("b1").Fleet().Organisations[w.org].Burst
	require.InDelta(w.t, burst, w.admitted("b1", w.org, 100), 1)
}

func TestMatrixRates(t *testing.T) {
	for _, s := range cellSteps {
		for _, f := range cellFaults {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCell(t, s, f) })
			})
		}
		for _, fault := range []string{"crossed", "target-dead"} {
			t.Run(s.name+"/"+fault, func(t *testing.T) {
				t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", s.name, fault, "the step calls no target")
			})
		}
	}
}

func runCell(t *testing.T, s cellStep, f cellFault) {
	t.Helper()
	w := newCellWorld(t)
	pass(time.Second)
	w.arm(s, f)
	if f.around != nil {
		go s.act(w)
		f.around(w)
	} else {
		s.act(w)
	}
	pass(outage + 5*time.Second)
	w.expireDead()
	pass(5 * time.Second)
	w.requireWithinRate()
	if f.strike != nil {
		w.mu.Lock()
		struck := w.struck
		w.mu.Unlock()
		require.True(t, struck, "the fault never struck")
	}
	w.requireWhole()
	w.requireWithinRate()
	t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f.name, f.story)
}

// A defect lets mates claim the slots of an expired session at once, while its
// holder still goes on by their promises. If the cells did not turn red for it,
// they would prove nothing.
func TestMatrixSeesSlotsReassignedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCellWorld(t)
		w.loseLog("a1")
		session := w.journal("a1").Session()
		pass(expireTime)
		for _, l := range w.all {
			l.mu.Lock()
			l.claims.Gone(session)
			l.mu.Unlock()
		}
		pass(outage)
		close(w.stop)
		w.mu.Lock()
		defer w.mu.Unlock()
		require.Error(t, w.above)
	})
}
