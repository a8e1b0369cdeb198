package faulttest

import (
	"testing"
	"testing/synctest"
	"time"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

const (
	items = 600
	nodes = 3
)

// step is a row of the matrix.
type step struct {
	name string
	at   point
	// run is the scenario; it returns what the checks found wrong.
	run func(w *world) *verdicts
	// none says why a fault can't strike here.
	none map[fault]string
}

const (
	noTarget = "no target takes part in this step"
	noLog    = "this step makes no operation on the log"
	noInput  = "nothing that this step needs is in the data stream yet"
)

var batchSteps = []step{
	{name: "upload", at: atUpload, run: runJob, none: map[fault]string{targetDead: noTarget, trimmed: noInput}},
	{name: "accept", at: atAccept, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "acknowledge", at: atAcknowledge, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "claim", at: atClaim, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "dispatch", at: atDispatch, run: runJob, none: map[fault]string{}},
	{name: "answer", at: atAnswer, run: runJob, none: map[fault]string{}},
	{name: "result-append", at: atResultData, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "result-record", at: atResult, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "deliver", at: atDeliver, run: runJob, none: map[fault]string{targetDead: noTarget}},
	{name: "cancel", at: atCancel, run: runCancel, none: map[fault]string{targetDead: noTarget}},
	{name: "takeover", at: atClaim, run: runTakeover, none: map[fault]string{targetDead: noTarget}},
}

// Each cell sends a job of some hundred items through three instances and
// strikes one of them at one step. A caller would notice a lost job, a job that
// runs twice, an item without or with two results, a result of another item, or
// a cancelled job that goes on.
func TestMatrixBatch(t *testing.T) {
	for _, s := range batchSteps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range matrixFaults {
				t.Run(string(f), func(t *testing.T) {
					t.Parallel()
					s.cell(t, f)
				})
			}
		})
	}
}

func (s step) cell(t *testing.T, f fault) {
	if notApplicable(t, s.name, s.none, f) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		wrong := s.strike(t, f, variant{})
		for _, sentence := range wrong {
			t.Error(sentence)
		}
		if len(wrong) == 0 {
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f, "checked")
		}
	})
}

// strike runs the scenario with a fault and returns what was wrong after it.
func (s step) strike(t *testing.T, f fault, broken variant) []string {
	p := newPlan(s.at, f, s.name != "takeover")
	w := newWorld(t, nodes, broken, p)
	v := s.run(w)
	if !p.happened() {
		v.add("the fault did not strike")
	}
	return v.wrong
}

// runJob takes a job from its upload to the reading of its results.
func runJob(w *world) *verdicts {
	v := &verdicts{}
	c := newClient(w)
	job, err := c.submitCrossed("night-run", items, "1h")
	if err != nil {
		v.add("%v", err)
		return v
	}
	return w.finish(v, c, job)
}

func (w *world) finish(v *verdicts, c *client, job batch.Job) *verdicts {
	if !w.reached(10*time.Minute, func() bool { return w.ended(job.ID) }) {
		v.add("the job did not end")
		return v
	}
	// What is late has time to arrive.
	<-time.After(pauseTime + lateTime)
	w.checkOneJob(v, c)
	w.checkAgreement(v)
	w.checkResults(v, c, job)
	return v
}

// mayLose says that the fault took data away that nobody can bring back. What
// must hold then is that the caller is told so, item by item.
func (w *world) mayLose() bool { return w.planned(trimmed) }

func (w *world) checkResults(v *verdicts, c *client, job batch.Job) {
	view, _ := w.jobOf(w.live()[0], job.ID)
	if view.Status != ledger.Completed {
		v.add("the job ended as %s", view.Status)
	}
	lines := w.readLines(v, c, job.ID)
	if w.mayLose() {
		checkTold(v, lines, view)
		return
	}
	good, _ := checkLines(v, lines, items)
	if good != view.Completed || good != items {
		v.add("%d good lines, %d counted", good, view.Completed)
	}
}

// checkTold: after data was lost every item still has its line, which holds
// the result or says that it is gone.
func checkTold(v *verdicts, lines []line, view ledger.JobView) {
	if view.Completed+view.Failed != items || len(lines) != items {
		v.add("%d items are counted and %d have a line", view.Completed+view.Failed, len(lines))
	}
	for _, l := range lines {
		good := l.Response != nil && l.Error == nil
		if !good && (l.Error == nil || l.Error.Code != string(protocol.CodeGone)) {
			v.add("item %q has no result and is not said to be gone", l.CustomID)
		}
	}
}

// runCancel cancels a job while its items run.
func runCancel(w *world) *verdicts {
	v := &verdicts{}
	// Long items, so that the job can't complete in an outage before the cancel.
	w.targets.itemTime = 10 * time.Second
	c := newClient(w)
	job, err := c.submit("night-run", items, "1h")
	if err != nil {
		v.add("%v", err)
		return v
	}
	<-time.After(4 * time.Second)
	cancelled, err := c.cancel(job.ID)
	if err != nil {
		v.add("%v", err)
		return v
	}
	confirmed := time.Now()
	if cancelled.Status != ledger.Cancelled {
		v.add("the job ended as %s", cancelled.Status)
	}
	<-time.After(pauseTime + outageTime)
	w.checkOneJob(v, c)
	w.checkAgreement(v)
	w.checkStopped(v, confirmed)
	view, _ := w.jobOf(w.live()[0], job.ID)
	if view.Completed != cancelled.Completed {
		v.add("%d results at the cancel, %d after it", cancelled.Completed, view.Completed)
	}
	if !w.mayLose() {
		checkLines(v, w.readLines(v, c, job.ID), items)
	}
	return v
}

// checkStopped: nothing begins more than a second after the cancel. An instance
// that was paused can't know of it: what it had taken up before the pause may
// begin when it goes on, at most an item for each of its places, until it has
// read the log.
func (w *world) checkStopped(v *verdicts, confirmed time.Time) {
	known := confirmed
	if resumed := w.resumedAt(); resumed.After(known) {
		known = resumed
	}
	if began := w.targets.beganAfter(known.Add(time.Second)); began > 0 {
		v.add("%d items began more than a second after the cancel", began)
	}
	if began := w.targets.beganAfter(confirmed.Add(time.Second)); began > w.places {
		v.add("%d items began more than a second after the cancel, at a paused instance", began)
	}
}

// runTakeover kills an instance that holds chunks and strikes the claim with
// which another takes them.
func runTakeover(w *world) *verdicts {
	v := &verdicts{}
	c := newClient(w)
	job, err := c.submit("night-run", items, "1h")
	if err != nil {
		v.add("%v", err)
		return v
	}
	w.await(time.Minute, "a claim of the first instance", func() bool { return len(w.held(w.nodes[0])) > 0 })
	<-time.After(2 * time.Second)
	w.nodes[0].crash()
	for _, p := range w.plans {
		p.arm()
	}
	return w.finish(v, c, job)
}
