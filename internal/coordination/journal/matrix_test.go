package journal

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// submitTimeout is how long a submitter waits. It is longer than any fault.
const submitTimeout = 60 * time.Second

// step is one row of the matrix: an operation of instance a, or one that
// another service does for it.
type step struct {
	name string
	// matches reports whether a record belongs to the step.
	matches func(*protocol.Record) bool
	// atRead reports that the fault is injected when the record is read back,
	// not when it is appended.
	atRead bool
	// submit returns the record that instance a submits. It is nil if a
	// background service does the step.
	submit func(cl *cluster, a *node) protocol.Record
	// trigger causes a background service to do the step.
	trigger func(cl *cluster, a *node)
	// competing returns the record that another instance appends first. It is
	// nil if the step has none.
	competing func(cl *cluster, b *node) protocol.Record
	// verify checks the state at the end of the run.
	verify func(cl *cluster)
}

const claimedResource protocol.Resource = "wanted"

func inSession(session protocol.SessionID, matches func(*protocol.Record) bool) func(*protocol.Record) bool {
	return func(rec *protocol.Record) bool { return rec.ID.Session == session && matches(rec) }
}

func claimsResource(rec *protocol.Record) bool {
	return rec.LeaseClaim != nil && rec.LeaseClaim.Resource == claimedResource
}

func isChange(id string) func(*protocol.Record) bool {
	return func(rec *protocol.Record) bool { return rec.FleetChange != nil && rec.FleetChange.ChangeID == id }
}

func isWithdrawal(rec *protocol.Record) bool { return rec.KeyWithdraw != nil }
func isRenewal(rec *protocol.Record) bool    { return rec.SessionRenew != nil }
func isOpen(rec *protocol.Record) bool       { return rec.SessionOpen != nil }
func isExpiry(rec *protocol.Record) bool     { return rec.SessionExpire != nil }

var steps = []step{
	{name: "append", matches: claimsResource, submit: claimRecord, competing: competingClaim, verify: (*cluster).verifyClaimable},
	{name: "read-back", matches: claimsResource, atRead: true, submit: claimRecord, verify: (*cluster).verifyClaimable},
	{name: "lease-claim", matches: claimsResource, submit: claimRecord, competing: competingClaim, verify: (*cluster).verifyClaimable},
	{name: "apply", matches: isChange("second"), submit: changeRecord, competing: competingChange, verify: (*cluster).verifyChange},
	{name: "withdraw", matches: isWithdrawal, submit: withdrawRecord, competing: competingRevive, verify: (*cluster).verifyWithdrawn},
	{name: "renew", matches: isRenewal},
	{name: "open", matches: isOpen, trigger: triggerOpen, verify: (*cluster).verifyOneSessionEach},
	{name: "expire", matches: isExpiry, trigger: triggerExpire, verify: (*cluster).verifyOneSessionEach},
}

func claimRecord(*cluster, *node) protocol.Record {
	return leaseClaim(claimedResource, protocol.NoOffset)
}

func competingClaim(*cluster, *node) protocol.Record {
	return leaseClaim(claimedResource, protocol.NoOffset)
}

func changeRecord(_ *cluster, a *node) protocol.Record {
	return fleetChange("second", a.Fleet().Version, organisation("o", 2))
}

func competingChange(_ *cluster, b *node) protocol.Record {
	return fleetChange("competing", b.Fleet().Version, organisation("o", 3))
}

func withdrawRecord(*cluster, *node) protocol.Record {
	return protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: knownKey, Operator: "op"}}
}

func competingRevive(_ *cluster, b *node) protocol.Record {
	return fleetChange("competing", b.Fleet().Version, keyObject(knownKey, "o", "1"))
}

// triggerOpen expires the session of instance a, so that a opens another one.
func triggerOpen(cl *cluster, a *node) {
	session := a.Session()
	var last protocol.Offset
	a.View(func(s *replica.State) {
		info, _ := s.Sessions.Get(session)
		last = info.LastRenewal
	})
	ctx, cancel := context.WithTimeout(cl.ctx, time.Second)
	defer cancel()
	cl.nodes[1].Submit(ctx, protocol.Record{SessionExpire: &protocol.SessionExpire{Session: session, LastRenewal: last}})
}

// triggerExpire kills instance c, so that the other instances have a session to
// expire.
func triggerExpire(cl *cluster, _ *node) { cl.killNode(cl.nodes[2]) }

// verifyClaimable checks that a live instance can claim the resource after any
// fault.
func (cl *cluster) verifyClaimable() {
	n := cl.liveNodes()[len(cl.liveNodes())-1]
	last := protocol.NoOffset
	n.View(func(s *replica.State) {
		lease, _ := s.Leases.Last(claimedResource)
		last = lease.Fence
	})
	outcome := n.Submit(cl.ctx, leaseClaim(claimedResource, last))
	if outcome.Verdict != protocol.Accepted && outcome.Verdict != protocol.AlreadyHeld {
		cl.addViolation("%s can't be claimed: %s %v", claimedResource, outcome.Verdict, outcome.Err)
	}
}

// verifyChange checks that at most one of the change and its competing change
// was accepted, and that every live instance applies the accepted one.
func (cl *cluster) verifyChange() {
	second, competing := cl.countAccepted(isChange("second")), cl.countAccepted(isChange("competing"))
	if second+competing > 1 {
		cl.addViolation("two changes based on the same version were accepted")
	}
	rate := 1 + float64(second) + 2*float64(competing)
	for _, n := range cl.liveNodes() {
		if got := n.Fleet().Organisations["o"].Rate; got != rate {
			cl.addViolation("rate %v in force at %s, want %v", got, n.opts.Instance, rate)
		}
	}
}

// verifyWithdrawn checks that every live instance rejects the key exactly if the
// withdrawal was accepted.
func (cl *cluster) verifyWithdrawn() {
	accepted := cl.countAccepted(isWithdrawal) > 0
	for _, n := range cl.liveNodes() {
		if n.KeyActive(knownKey) == accepted {
			cl.addViolation("key active=%v at %s, withdrawal accepted=%v", !accepted, n.opts.Instance, accepted)
		}
	}
}

// verifyOneSessionEach checks that sessions of dead processes have ended and
// that each live instance has exactly one session.
func (cl *cluster) verifyOneSessionEach() {
	live := cl.liveNodes()
	for _, n := range live {
		if got := openSessions(n); got != len(live) {
			cl.addViolation("%d sessions are open at %s, want %d", got, n.opts.Instance, len(live))
		}
	}
}

// affected returns the instances into which the fault may be injected: instance
// a, or for an expiry both instances that may propose it.
func (s *step) affected(cl *cluster) []*node {
	if s.name == "expire" {
		return cl.nodes[:2]
	}
	return cl.nodes[:1]
}

// injectOnce injects a fault into a step once. It returns the number of times
// that the step reached the point of injection.
func (cl *cluster) injectOnce(s step, f fault) *atomic.Int32 {
	var injections atomic.Int32
	inject := func(cl *cluster, n *node, forward func() error) error {
		if injections.Add(1) > 1 {
			return forward()
		}
		return f.inject(cl, n, forward)
	}
	for _, n := range s.affected(cl) {
		if s.atRead {
			cl.injectOnRead(n, inSession(n.Session(), s.matches), inject)
			continue
		}
		cl.injectOnAppend(n, s.matches, inject)
	}
	return &injections
}

// runCell runs a step with a fault and returns the violations.
func runCell(t *testing.T, s step, f fault, adjust ...func(*Options)) []string {
	cl := newCluster(t, adjust...)
	defer cl.close()
	cl.singleFault = true
	a, _, _ := cl.startAll()
	sessions := map[*node]protocol.SessionID{}
	for _, n := range cl.nodes {
		sessions[n] = n.Session()
	}
	injections := cl.injectOnce(s, f)
	if s.trigger != nil {
		s.trigger(cl, a)
	}
	if s.submit != nil {
		outcome := cl.submitWithTimeout(a, s.submit(cl, a))
		cl.checkOutcome(outcome, s.matches)
		if f.mustBeAccepted && !outcome.Accepted() {
			cl.addViolation("the submitter received %s %s %v", outcome.Run, outcome.Verdict, outcome.Err)
		}
	}
	<-time.After(2*faultDuration + 10*time.Second)
	if f.kills {
		cl.startInstance("later", "a")
	}
	cl.checkRecovered()
	if injections.Load() == 0 {
		cl.addViolation("the fault was never injected")
	}
	if f.keepsSessions && s.trigger == nil {
		for _, n := range cl.liveNodes() {
			if n.Session() != sessions[n] {
				cl.addViolation("%s lost its session", n.opts.Instance)
			}
		}
	}
	if s.verify != nil {
		s.verify(cl)
	}
	return cl.violations
}

func (cl *cluster) submitWithTimeout(n *node, rec protocol.Record) coordination.Outcome {
	ctx, cancel := context.WithTimeout(cl.ctx, submitTimeout)
	defer cancel()
	return n.Submit(ctx, rec)
}

// TestMatrix runs every step of the agreement protocol with every fault.
// Instance a does the step and has the fault. The other instances must not hold
// what a holds and must not lose what they hold, and every outcome that a
// submitter received must be true.
func TestMatrix(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range faults {
				t.Run(f.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { require.Empty(t, runCell(t, s, f)) })
					t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f.name, "")
				})
			}
			t.Run("operators-racing", func(t *testing.T) { runRacingCell(t, s) })
			for _, name := range []string{"crossed", "target-dead"} {
				t.Run(name, func(t *testing.T) {
					t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", s.name, name, "the step calls no target")
				})
			}
		})
	}
}

func runRacingCell(t *testing.T, s step) {
	const name = "operators-racing"
	if s.competing == nil {
		t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", s.name, name, "no operator takes part in the step")
		return
	}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, runRace(t, s)) })
	t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, name, "")
}

// runRace lets instance b append its competing record while the record of a,
// which is based on the same state, is in flight.
func runRace(t *testing.T, s step, adjust ...func(*Options)) []string {
	cl := newCluster(t, adjust...)
	defer cl.close()
	a, b, _ := cl.startAll()
	competing := s.competing(cl, b)
	var second coordination.Outcome
	cl.injectOnAppend(a, s.matches, func(cl *cluster, _ *node, forward func() error) error {
		second = cl.submitWithTimeout(b, competing)
		return forward()
	})
	first := cl.submitWithTimeout(a, s.submit(cl, a))
	cl.checkOutcome(first, inSession(a.Session(), s.matches))
	if !second.Accepted() {
		cl.addViolation("the first of two competing records was not accepted: %s", second.Verdict)
	}
	if first.Run != protocol.Completed {
		cl.addViolation("the second of two competing records has no verdict: %v", first.Err)
	}
	cl.checkRecovered()
	s.verify(cl)
	return cl.violations
}
