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

// step is a row of the fault matrix.
type step struct {
	name string
	at   point
	// run executes the scenario and returns the violations that the checks found.
	run func(tf *testFleet) *violations
	// excluded gives the reason for each fault that cannot occur at this step.
	excluded map[fault]string
}

const (
	noTarget = "no target takes part in this step"
	noLog    = "this step makes no operation on the log"
	noInput  = "nothing that this step needs is in the data stream yet"
)

var batchSteps = []step{
	{name: "upload", at: atUpload, run: runJob, excluded: map[fault]string{targetDown: noTarget, retentionExpired: noInput}},
	{name: "accept", at: atAccept, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "acknowledge", at: atAcknowledge, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "claim", at: atClaim, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "dispatch", at: atDispatch, run: runJob, excluded: map[fault]string{}},
	{name: "answer", at: atAnswer, run: runJob, excluded: map[fault]string{}},
	{name: "result-append", at: atResultData, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "result-record", at: atResult, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "deliver", at: atDeliver, run: runJob, excluded: map[fault]string{targetDown: noTarget}},
	{name: "cancel", at: atCancel, run: runCancel, excluded: map[fault]string{targetDown: noTarget}},
	{name: "takeover", at: atClaim, run: runTakeover, excluded: map[fault]string{targetDown: noTarget}},
}

// Each cell submits a job of 600 items to three instances and injects a fault
// into one instance at one step. The checks detect a lost job, a job that runs
// twice, an item with no result or two, a result of another item, and a
// cancelled job that keeps running.
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
	if notApplicable(t, s.name, s.excluded, f) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		wrong := s.runWithFault(t, f, variant{})
		for _, violation := range wrong {
			t.Error(violation)
		}
		if len(wrong) == 0 {
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f, "checked")
		}
	})
}

// runWithFault runs the scenario with a fault and returns the violations.
func (s step) runWithFault(t *testing.T, f fault, broken variant) []string {
	p := newInjection(s.at, f, s.name != "takeover")
	tf := newTestFleet(t, nodes, broken, p)
	v := s.run(tf)
	if !p.wasTriggered() {
		v.add("the fault was not injected")
	}
	return v.messages
}

// runJob uploads a file, submits a job, waits for its end and reads its results.
func runJob(tf *testFleet) *violations {
	v := &violations{}
	c := newClient(tf)
	job, err := c.submitInterleaved("night-run", items, "1h")
	if err != nil {
		v.add("%v", err)
		return v
	}
	return tf.finishJob(v, c, job)
}

func (tf *testFleet) finishJob(v *violations, c *client, job batch.Job) *violations {
	if !tf.waitFor(10*time.Minute, func() bool { return tf.ended(job.ID) }) {
		v.add("the job did not end")
		return v
	}
	// Paused instances and delayed operations finish within this time.
	<-time.After(pauseTime + delayTime)
	tf.checkSingleJob(v, c)
	tf.checkReplicasAgree(v)
	tf.checkResults(v, c, job)
	return v
}

// losesData reports whether the fault deletes data that cannot be recovered.
// The caller must then get an error for each lost item.
func (tf *testFleet) losesData() bool { return tf.injects(retentionExpired) }

func (tf *testFleet) checkResults(v *violations, c *client, job batch.Job) {
	view, _ := tf.jobOf(tf.live()[0], job.ID)
	if view.Status != ledger.Completed {
		v.add("the job ended as %s", view.Status)
	}
	lines := tf.readLines(v, c, job.ID)
	if tf.losesData() {
		checkLossReported(v, lines, view)
		return
	}
	good, _ := checkLines(v, lines, items)
	if good != view.Completed || good != items {
		v.add("%d good lines, %d counted", good, view.Completed)
	}
}

// checkLossReported checks that after a loss of data every item still has a line
// with either its result or the error code for lost data.
func checkLossReported(v *violations, lines []line, view ledger.JobView) {
	if view.Completed+view.Failed != items || len(lines) != items {
		v.add("%d items are counted, but %d have a line", view.Completed+view.Failed, len(lines))
	}
	for _, l := range lines {
		good := l.Response != nil && l.Error == nil
		if !good && (l.Error == nil || l.Error.Code != string(protocol.CodeGone)) {
			v.add("item %q has neither a result nor the error code for lost data", l.CustomID)
		}
	}
}

// runCancel cancels a job while its items run.
func runCancel(tf *testFleet) *violations {
	v := &violations{}
	// Items take 10 s so that the job cannot complete in an outage before the cancel.
	tf.targets.itemTime = 10 * time.Second
	c := newClient(tf)
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
	tf.checkSingleJob(v, c)
	tf.checkReplicasAgree(v)
	tf.checkStopped(v, confirmed)
	view, _ := tf.jobOf(tf.live()[0], job.ID)
	if view.Completed != cancelled.Completed {
		v.add("%d results at the time of the cancel, %d later", cancelled.Completed, view.Completed)
	}
	if !tf.losesData() {
		checkLines(v, tf.readLines(v, c, job.ID), items)
	}
	return v
}

// checkStopped checks that no item starts more than a second after the cancel.
// An instance that was paused has not read the cancel. When it resumes, items
// that it had claimed before the pause may start until it has read the log, at
// most one for each of its slots.
func (tf *testFleet) checkStopped(v *violations, confirmed time.Time) {
	known := confirmed
	if resumed := tf.resumedAt(); resumed.After(known) {
		known = resumed
	}
	if began := tf.targets.beganAfter(known.Add(time.Second)); began > 0 {
		v.add("%d items began more than a second after the cancel", began)
	}
	if began := tf.targets.beganAfter(confirmed.Add(time.Second)); began > tf.slotsPerInstance {
		v.add("%d items began more than a second after the cancel, on a paused instance", began)
	}
}

// runTakeover kills an instance that holds chunks and injects the fault into the
// claim with which another instance takes them over.
func runTakeover(tf *testFleet) *violations {
	v := &violations{}
	c := newClient(tf)
	job, err := c.submit("night-run", items, "1h")
	if err != nil {
		v.add("%v", err)
		return v
	}
	tf.await(time.Minute, "a claim of the first instance", func() bool { return len(tf.chunksHeldBy(tf.nodes[0])) > 0 })
	<-time.After(2 * time.Second)
	tf.nodes[0].crash()
	for _, p := range tf.injections {
		p.arm()
	}
	return tf.finishJob(v, c, job)
}
