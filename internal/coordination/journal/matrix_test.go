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

// patience is how long a submitter waits: past any fault.
const patience = 60 * time.Second

// step is one row of the matrix: something that instance a does, or that
// happens on its behalf.
type step struct {
	name string
	// matches finds the record of the step.
	matches func(*protocol.Record) bool
	// atRead says that the fault meets the reading back, not the append.
	atRead bool
	// submit makes the record that a submits; nil if a duty does the step.
	submit func(w *world, a *node) protocol.Record
	// prompt causes a duty to do the step.
	prompt func(w *world, a *node)
	// rival is what another instance gets in first; nil if the step has none.
	rival func(w *world, b *node) protocol.Record
	// verify checks the end of the run.
	verify func(w *world)
}

const wanted protocol.Resource = "wanted"

func ofSession(session protocol.SessionID, has func(*protocol.Record) bool) func(*protocol.Record) bool {
	return func(rec *protocol.Record) bool { return rec.ID.Session == session && has(rec) }
}

func claimsWanted(rec *protocol.Record) bool {
	return rec.LeaseClaim != nil && rec.LeaseClaim.Resource == wanted
}

func changes(id string) func(*protocol.Record) bool {
	return func(rec *protocol.Record) bool { return rec.FleetChange != nil && rec.FleetChange.ChangeID == id }
}

func withdraws(rec *protocol.Record) bool { return rec.KeyWithdraw != nil }
func renews(rec *protocol.Record) bool    { return rec.SessionRenew != nil }
func opens(rec *protocol.Record) bool     { return rec.SessionOpen != nil }
func expires(rec *protocol.Record) bool   { return rec.SessionExpire != nil }

var steps = []step{
	{name: "append", matches: claimsWanted, submit: submitWanted, rival: rivalWanted, verify: (*world).verifyWanted},
	{name: "read-back", matches: claimsWanted, atRead: true, submit: submitWanted, verify: (*world).verifyWanted},
	{name: "lease-claim", matches: claimsWanted, submit: submitWanted, rival: rivalWanted, verify: (*world).verifyWanted},
	{name: "apply", matches: changes("second"), submit: submitChange, rival: rivalChange, verify: (*world).verifyChange},
	{name: "withdraw", matches: withdraws, submit: submitWithdraw, rival: rivalRevive, verify: (*world).verifyWithdrawn},
	{name: "renew", matches: renews},
	{name: "open", matches: opens, prompt: promptOpen, verify: (*world).verifyOneSessionEach},
	{name: "expire", matches: expires, prompt: promptExpire, verify: (*world).verifyOneSessionEach},
}

func submitWanted(*world, *node) protocol.Record { return claim(wanted, protocol.NoOffset) }
func rivalWanted(*world, *node) protocol.Record  { return claim(wanted, protocol.NoOffset) }

func submitChange(_ *world, a *node) protocol.Record {
	return change("second", a.Fleet().Version, organisation("o", 2))
}

func rivalChange(_ *world, b *node) protocol.Record {
	return change("rival", b.Fleet().Version, organisation("o", 3))
}

func submitWithdraw(*world, *node) protocol.Record {
	return protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: given, Operator: "op"}}
}

func rivalRevive(_ *world, b *node) protocol.Record {
	return change("rival", b.Fleet().Version, keyOf(given, "o", "1"))
}

// promptOpen takes a's session away, so that it opens another.
func promptOpen(w *world, a *node) {
	session := a.Session()
	var last protocol.Offset
	a.View(func(s *replica.State) {
		info, _ := s.Sessions.Get(session)
		last = info.LastRenewal
	})
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	w.nodes[1].Submit(ctx, protocol.Record{SessionExpire: &protocol.SessionExpire{Session: session, LastRenewal: last}})
}

// promptExpire kills c, so that the others have a session to expire.
func promptExpire(w *world, _ *node) { w.die(w.nodes[2]) }

// verifyWanted: whatever happened, the resource can be had by a live instance.
func (w *world) verifyWanted() {
	n := w.alive()[len(w.alive())-1]
	last := protocol.NoOffset
	n.View(func(s *replica.State) {
		lease, _ := s.Leases.Last(wanted)
		last = lease.Fence
	})
	outcome := n.Submit(w.ctx, claim(wanted, last))
	if outcome.Verdict != protocol.Accepted && outcome.Verdict != protocol.AlreadyHeld {
		w.violate("%s can't be had: %s %v", wanted, outcome.Verdict, outcome.Err)
	}
}

// verifyChange: of the change and its rival at most one was accepted, and the
// accepted one is in force at every live instance.
func (w *world) verifyChange() {
	second, rival := w.stood(changes("second")), w.stood(changes("rival"))
	if second+rival > 1 {
		w.violate("two changes made from the same version were accepted")
	}
	rate := 1 + float64(second) + 2*float64(rival)
	for _, n := range w.alive() {
		if got := n.Fleet().Organisations["o"].Rate; got != rate {
			w.violate("rate %v in force at %s, want %v", got, n.opts.Instance, rate)
		}
	}
}

// verifyWithdrawn: the key is refused everywhere if the withdrawal stands.
func (w *world) verifyWithdrawn() {
	stands := w.stood(withdraws) > 0
	for _, n := range w.alive() {
		if n.KeyActive(given) == stands {
			w.violate("key active=%v at %s, withdrawal stands=%v", !stands, n.opts.Instance, stands)
		}
	}
}

// verifyOneSessionEach: sessions of dead processes are gone, and each live
// instance has exactly one.
func (w *world) verifyOneSessionEach() {
	alive := w.alive()
	for _, n := range alive {
		if got := openSessions(n); got != len(alive) {
			w.violate("%d sessions are open at %s, want %d", got, n.opts.Instance, len(alive))
		}
	}
}

// striker is the instance that meets the fault: a, but for an expiry the one
// that happens to propose it.
func (s *step) strikers(w *world) []*node {
	if s.name == "expire" {
		return w.nodes[:2]
	}
	return w.nodes[:1]
}

// strikeOnce lets a fault meet a step once, and returns how often the step came
// where the fault waits.
func (w *world) strikeOnce(s step, f fault) *atomic.Int32 {
	var struck atomic.Int32
	do := func(w *world, n *node, forward func() error) error {
		if struck.Add(1) > 1 {
			return forward()
		}
		return f.strike(w, n, forward)
	}
	for _, n := range s.strikers(w) {
		if s.atRead {
			w.strikeRead(n, ofSession(n.Session(), s.matches), do)
			continue
		}
		w.strikeAppend(n, s.matches, do)
	}
	return &struck
}

// runCell runs a step with a fault and returns what was violated.
func runCell(t *testing.T, s step, f fault, adjust ...func(*Options)) []string {
	w := newWorld(t, adjust...)
	defer w.close()
	w.single = true
	a, _, _ := w.begin()
	sessions := map[*node]protocol.SessionID{}
	for _, n := range w.nodes {
		sessions[n] = n.Session()
	}
	struck := w.strikeOnce(s, f)
	if s.prompt != nil {
		s.prompt(w, a)
	}
	if s.submit != nil {
		outcome := w.submitPatiently(a, s.submit(w, a))
		w.judge(outcome, s.matches)
		if f.settles && !outcome.Accepted() {
			w.violate("a patient submitter got %s %s %v", outcome.Run, outcome.Verdict, outcome.Err)
		}
	}
	<-time.After(2*away + 10*time.Second)
	if f.kills {
		w.start("later", "a")
	}
	w.settleDown()
	if struck.Load() == 0 {
		w.violate("the fault never met its step")
	}
	if f.keeps && s.prompt == nil {
		for _, n := range w.alive() {
			if n.Session() != sessions[n] {
				w.violate("%s lost its session", n.opts.Instance)
			}
		}
	}
	if s.verify != nil {
		s.verify(w)
	}
	return w.violations
}

func (w *world) submitPatiently(n *node, rec protocol.Record) coordination.Outcome {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	return n.Submit(ctx, rec)
}

// TestMatrix meets every step of the agreement with every fault. Instance a
// does the step and is struck; the others must neither hold what it holds nor
// lose what they have, and all that anybody was told must be true.
func TestMatrix(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range faults {
				t.Run(f.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { require.Empty(t, runCell(t, s, f)) })
					t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f.name, "")
				})
			}
			t.Run("operators-racing", func(t *testing.T) { racingCell(t, s) })
			for _, name := range []string{"crossed", "target-dead"} {
				t.Run(name, func(t *testing.T) {
					t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", s.name, name, "the step calls no target")
				})
			}
		})
	}
}

func racingCell(t *testing.T, s step) {
	const name = "operators-racing"
	if s.rival == nil {
		t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", s.name, name, "no operator takes part in the step")
		return
	}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, runRace(t, s)) })
	t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, name, "")
}

// runRace lets instance b get its rival record in while that of a, made from
// the same view, is on its way.
func runRace(t *testing.T, s step, adjust ...func(*Options)) []string {
	w := newWorld(t, adjust...)
	defer w.close()
	a, b, _ := w.begin()
	rival := s.rival(w, b)
	var second coordination.Outcome
	w.strikeAppend(a, s.matches, func(w *world, _ *node, forward func() error) error {
		second = w.submitPatiently(b, rival)
		return forward()
	})
	first := w.submitPatiently(a, s.submit(w, a))
	w.judge(first, ofSession(a.Session(), s.matches))
	if !second.Accepted() {
		w.violate("the first of two racing records was not accepted: %s", second.Verdict)
	}
	if first.Run != protocol.Completed {
		w.violate("the second of two racing records has no verdict: %v", first.Err)
	}
	w.settleDown()
	s.verify(w)
	return w.violations
}
