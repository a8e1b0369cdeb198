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

// matrixFleet is a fleet under load, compared with one exact token bucket. A
// fault occurs when a1 reaches a step, or affects the whole fleet in the
// background.
type matrixFleet struct {
	*fakeFleet
	mu        sync.Mutex
	exact     oracle
	violation error
	stop      chan struct{}
	paused    map[protocol.InstanceID]bool
	injected  bool
	// org is an organisation of which a1 holds a slot.
	org protocol.OrganisationID
}

// Peers expire the session of a terminated, paused or isolated instance after
// expireTime. The instance itself considers its session invalid earlier, after
// holdTime.
const (
	holdTime   = 6 * time.Second
	expireTime = 8 * time.Second
	outage     = 35 * time.Second
)

func newMatrixFleet(t *testing.T) *matrixFleet {
	t.Helper()
	m := &matrixFleet{fakeFleet: threeDomains(t), stop: make(chan struct{}), paused: map[protocol.InstanceID]bool{}}
	m.org = m.organisationOf("a1")
	m.exact = oracle{rate: 30, burst: 30, level: 30, at: time.Now()}
	for id := range m.all {
		go m.generateLoad(id)
	}
	return m
}

// generateLoad makes an instance admit as many requests as it can.
func (m *matrixFleet) generateLoad(id protocol.InstanceID) {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(150 * time.Millisecond):
			m.admitUntilRejected(id)
		}
	}
}

func (m *matrixFleet) admitUntilRejected(id protocol.InstanceID) {
	for range 5 {
		m.mu.Lock()
		idle := m.paused[id]
		m.mu.Unlock()
		if idle || m.all[id].Admit(m.t.Context(), m.org, 1) != nil {
			return
		}
		m.mu.Lock()
		if err := m.exact.admit(time.Now(), 1); err != nil && m.violation == nil {
			m.violation = err
		}
		m.mu.Unlock()
	}
}

// changeExactRate applies a changed rate and burst to the exact bucket.
func (m *matrixFleet) changeExactRate(rate, burst float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exact.level = min(m.exact.burst, m.exact.level+m.exact.rate*time.Since(m.exact.at).Seconds())
	m.exact.at = time.Now()
	m.exact.rate, m.exact.burst = rate, burst
}

// firstTime reports whether the step is reached for the first time.
func (m *matrixFleet) firstTime() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	injected := m.injected
	m.injected = true
	return !injected
}

// pause stops an instance, which represents a paused or terminated process, and
// lets its peers expire its session.
func (m *matrixFleet) pause(id protocol.InstanceID) {
	m.net.stop(id)
	m.mu.Lock()
	m.paused[id] = true
	m.mu.Unlock()
	m.isolateFromLog(id)
}

// kill terminates a process permanently.
func (m *matrixFleet) kill(id protocol.InstanceID) {
	m.journal(id).terminate()
	m.pause(id)
}

// isolateFromLog makes the log unreachable for an instance. Its session stops
// being valid after holdTime, and its peers expire the session after
// expireTime.
func (m *matrixFleet) isolateFromLog(id protocol.InstanceID) {
	j := m.journal(id)
	session := j.Session()
	j.setIsolated(true, true)
	time.AfterFunc(holdTime, func() { j.setIsolated(true, false) })
	time.AfterFunc(expireTime, func() { m.expireIfOpen(session) })
}

func (m *matrixFleet) expireIfOpen(session protocol.SessionID) {
	j := m.journal("a2")
	last := protocol.NoOffset
	j.View(func(s *replica.State) {
		if info, ok := s.Sessions.Get(session); ok {
			last = info.LastRenewal
		}
	})
	j.submit(protocol.Record{SessionExpire: &protocol.SessionExpire{Session: session, LastRenewal: last}})
}

// organisationOf returns an organisation of which an instance holds a slot, so
// that a fault of this instance has an effect.
func (m *matrixFleet) organisationOf(id protocol.InstanceID) protocol.OrganisationID {
	fleet := m.journal(id).Fleet()
	view := m.all[id].state.view(fleet)
	for i := range len(fleet.Organisations) {
		org := protocol.OrganisationID(fmt.Sprintf("o%d", i))
		for _, quota := range Divide(fleet.Organisations[org], fleet.Domains) {
			if view.Leases[quota.Key].Instance == id {
				return org
			}
		}
	}
	m.t.Fatal("the instance holds no slot")
	return ""
}

// expirePaused expires sessions of paused instances that peers could not expire
// during an outage of the log.
func (m *matrixFleet) expirePaused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, paused := range m.paused {
		if paused {
			m.expireIfOpen(m.journal(id).Session())
		}
	}
}

// resume continues a paused instance. It may admit requests before it has read
// what happened in the meantime.
func (m *matrixFleet) resume(id protocol.InstanceID) {
	m.net.mu.Lock()
	delete(m.net.down, id)
	m.net.mu.Unlock()
	m.mu.Lock()
	m.paused[id] = false
	m.mu.Unlock()
	m.admitUntilRejected(id)
	m.journal(id).setIsolated(false, false)
}

// matrixStep is an operation of the limiter and the action that triggers it.
type matrixStep struct {
	name string
	// method is the net/rpc method of the step. claim is true if the step is
	// the record of a claim in the log instead.
	method  string
	claim   bool
	trigger func(m *matrixFleet)
}

var matrixSteps = []matrixStep{
	{name: "take", method: ReceiverName + ".Take", trigger: func(*matrixFleet) {}},
	{name: "admit", method: ReceiverName + ".Take", trigger: func(m *matrixFleet) { m.admitUntilRejected("a1") }},
	{name: "transfer", method: ReceiverName + ".Handover", trigger: func(m *matrixFleet) {
		m.all["a1"].Leave(m.t.Context())
		m.journal("a1").submit(protocol.Record{SessionClose: &protocol.SessionClose{}})
		// The process terminates. If the log was unreachable, its session is
		// still open.
		m.kill("a1")
	}},
	{name: "claim-slot", claim: true, trigger: func(m *matrixFleet) {
		m.kill("a3")
	}},
	{name: "change-rate", method: ReceiverName + ".Version", trigger: func(m *matrixFleet) {
		shares := equalShares("a", "b", "c")
		shares["a"] = protocol.DomainShare{Domain: "a", Share: 4}
		m.changeExactRate(45, 45)
		m.configure("a2", shares, protocol.Organisation{ID: m.org, Rate: 45, Burst: 45})
	}},
}

// injectFunc injects a fault when a1 reaches the step. forward performs the
// step.
type injectFunc func(m *matrixFleet, forward func() error) error

type matrixFault struct {
	name        string
	description string
	inject      injectFunc
	// background is set for faults that do not occur at a step of a1. It runs
	// while the step is triggered.
	background func(m *matrixFleet)
}

var matrixFaults = []matrixFault{
	{name: "kill-before", description: "a1 terminates just before the step. Its peers must take over its slots and tokens, without duplicates.",
		inject: func(m *matrixFleet, _ func() error) error {
			m.kill("a1")
			return errUnreachable
		}},
	{name: "kill-after", description: "a1 terminates just after the step took effect. Tokens in flight to it are lost and must not be duplicated.",
		inject: func(m *matrixFleet, forward func() error) error {
			_ = forward()
			m.kill("a1")
			return errUnreachable
		}},
	{name: "pause-past-lease", description: "a1 is paused in the step until its session has expired and its slots have new holders. When it resumes, it admits requests before it has read the log.",
		inject: func(m *matrixFleet, forward func() error) error {
			m.pause("a1")
			sleep(outage)
			m.resume("a1")
			return forward()
		}},
	{name: "log-down", description: "The log is unreachable for all instances, for longer than any session stays valid. Callers must still get their rate, and not more.",
		background: func(m *matrixFleet) {
			for id := range m.all {
				m.journal(id).setIsolated(true, true)
			}
			sleep(holdTime)
			for id := range m.all {
				m.journal(id).setIsolated(true, false)
			}
			sleep(outage)
			for id := range m.all {
				if !m.journal(id).isTerminated() {
					m.journal(id).setIsolated(false, true)
				}
			}
		}},
	{name: "answer-lost", description: "The step takes effect and its reply to a1 is lost. a1 must neither count the tokens nor stop permanently.",
		inject: func(_ *matrixFleet, forward func() error) error {
			_ = forward()
			return errUnreachable
		}},
	{name: "duplicate", description: "The network delivers the step twice. Its tokens must not be duplicated.",
		inject: func(_ *matrixFleet, forward func() error) error {
			_ = forward()
			return forward()
		}},
	{name: "late", description: "The step is delayed until its tokens have expired, and then its reply arrives.",
		inject: func(_ *matrixFleet, forward func() error) error {
			sleep(600 * time.Millisecond)
			return forward()
		}},
	{name: "cut-from-log", description: "Only a1 loses the log. It continues on promises while its peers try to claim its slots.",
		inject: func(m *matrixFleet, forward func() error) error {
			m.isolateFromLog("a1")
			time.AfterFunc(outage, func() { m.journal("a1").setIsolated(false, false) })
			return forward()
		}},
	{name: "cut-from-domain", description: "A network partition isolates failure domain a from the others. Each side may use only its own share.",
		background: func(m *matrixFleet) {
			m.net.partitionDomains("a", "b")
			m.net.partitionDomains("a", "c")
			sleep(outage)
			m.net.mu.Lock()
			clear(m.net.partitioned)
			m.net.mu.Unlock()
		}},
	{name: "operators-racing", description: "Two operators publish another rate based on the same version. No instance may combine the configurations into a higher rate than one of them allows.",
		background: func(m *matrixFleet) {
			m.changeExactRate(45, 45)
			for _, id := range []protocol.InstanceID{"b1", "c1"} {
				j := m.journal(id)
				org := protocol.Organisation{ID: m.org, Rate: 36, Burst: 36}
				j.submit(protocol.Record{FleetChange: &protocol.FleetChange{
					BasedOn: m.journal("b1").Fleet().Version - 1, ChangeID: "race-" + string(id),
					Set: []protocol.FleetObject{{Organisation: &org}},
				}})
			}
			m.configure("b1", nil, protocol.Organisation{ID: m.org, Rate: 40, Burst: 40})
			sleep(outage)
		}},
}

// arm installs the fault so that it occurs when a1 reaches the step.
func (m *matrixFleet) arm(s matrixStep, f matrixFault) {
	if f.inject == nil {
		return
	}
	m.net.mu.Lock()
	m.net.intercept = func(ctx context.Context, by protocol.InstanceID, method string, deliver func() error) error {
		if s.claim || method != s.method || by != "a1" || !m.firstTime() {
			return deliver()
		}
		err := f.inject(m, deliver)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	m.net.mu.Unlock()
	m.log.mu.Lock()
	m.log.intercept = func(by protocol.InstanceID, rec protocol.Record, forward func()) {
		if !s.claim || rec.LeaseClaim == nil || by != "a1" || !m.firstTime() {
			forward()
			return
		}
		_ = f.inject(m, func() error {
			forward()
			return nil
		})
	}
	m.log.mu.Unlock()
}

func (m *matrixFleet) requireWithinRate() {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	require.NoError(m.t, m.violation)
}

// requireRecovered checks that after the faults each slot has one holder and
// callers at another instance get the full burst.
func (m *matrixFleet) requireRecovered() {
	m.t.Helper()
	close(m.stop)
	sleep(40 * time.Second)
	for _, domain := range []string{"a", "b", "c"} {
		m.requireOneHolderEach(domain, SlotsPerDomain)
	}
	burst := m.journal("b1").Fleet().Organisations[m.org].Burst
	require.InDelta(m.t, burst, m.countAdmitted("b1", m.org, 100), 1)
}

func TestMatrixRates(t *testing.T) {
	for _, s := range matrixSteps {
		for _, f := range matrixFaults {
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

func runCell(t *testing.T, s matrixStep, f matrixFault) {
	t.Helper()
	m := newMatrixFleet(t)
	sleep(time.Second)
	m.arm(s, f)
	if f.background != nil {
		go s.trigger(m)
		f.background(m)
	} else {
		s.trigger(m)
	}
	sleep(outage + 5*time.Second)
	m.expirePaused()
	sleep(5 * time.Second)
	m.requireWithinRate()
	if f.inject != nil {
		m.mu.Lock()
		injected := m.injected
		m.mu.Unlock()
		require.True(t, injected, "the fault was never injected")
	}
	m.requireRecovered()
	m.requireWithinRate()
	t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f.name, f.description)
}

// Verifies that the matrix detects a defect: peers claim the slots of an
// expired session immediately, while its holder still uses them on their
// promises. If no test failed because of it, the matrix would prove nothing.
func TestMatrixDetectsEarlyReassignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMatrixFleet(t)
		m.isolateFromLog("a1")
		session := m.journal("a1").Session()
		sleep(expireTime)
		for _, l := range m.all {
			l.mu.Lock()
			l.claims.MarkRelinquished(session)
			l.mu.Unlock()
		}
		sleep(outage)
		close(m.stop)
		m.mu.Lock()
		defer m.mu.Unlock()
		require.Error(t, m.violation)
	})
}
