package faulttest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// violations collects the violations that the checks found.
type violations struct{ messages []string }

func (v *violations) add(format string, args ...any) {
	v.messages = append(v.messages, fmt.Sprintf(format, args...))
}

func (tf *testFleet) jobOf(n *node, id protocol.JobID) (view ledger.JobView, found bool) {
	n.View(func(state *replica.State) { view, found = state.Ledger.Job(id) })
	return view, found
}

func (tf *testFleet) ended(id protocol.JobID) bool {
	for _, n := range tf.live() {
		view, found := tf.jobOf(n, id)
		if !found || view.Status == ledger.InProgress {
			return false
		}
	}
	return true
}

// checkSingleJob checks that all attempts with one key led to one job, that every
// instance knows the same job, that each acknowledgement named this job, and that
// no attempt that was rejected as not run created it.
func (tf *testFleet) checkSingleJob(v *violations, c *client) {
	for _, n := range tf.live() {
		var jobs []ledger.JobView
		n.View(func(state *replica.State) { jobs = state.Ledger.Jobs(cascadia) })
		if len(jobs) != 1 {
			v.add("%s knows %d jobs", n.name, len(jobs))
			continue
		}
		if !c.acknowledged[jobs[0].ID] || len(c.acknowledged) != 1 {
			v.add("acknowledged %v, %s knows %s", c.acknowledged, n.name, jobs[0].ID)
		}
		if c.notRun[jobs[0].Metadata["try"]] {
			v.add("attempt %s was rejected as not run, but created the job", jobs[0].Metadata["try"])
		}
	}
}

// checkReplicasAgree checks that instances that replayed the same log entries
// have the same ledger.
func (tf *testFleet) checkReplicasAgree(v *violations) {
	tf.waitFor(10*time.Second, func() bool {
		for _, n := range tf.live() {
			if n.Applied() != tf.live()[0].Applied() {
				return false
			}
		}
		return true
	})
	var first []byte
	for _, n := range tf.live() {
		var data []byte
		n.View(func(state *replica.State) { data, _ = protocol.Marshal(state.Ledger.Snapshot()) })
		if first == nil {
			first = data
		}
		if !bytes.Equal(first, data) {
			v.add("the ledger of %s differs from that of the first instance", n.name)
		}
	}
}

// line is a line of a result file.
type line struct {
	batch.OutputLine
	// failed reports whether the line is from the error file.
	failed bool
}

// readLines reads both result files of a job.
func (tf *testFleet) readLines(v *violations, c *client, id protocol.JobID) []line {
	if tf.variant.lines != nil {
		return tf.variant.lines(tf, id)
	}
	var lines []line
	for _, failed := range []bool{false, true} {
		name := batch.OutputFileID(id)
		if failed {
			name = batch.ErrorFileID(id)
		}
		data, refusal, err := c.content(name)
		if err != nil || refusal != nil {
			v.add("%s is not readable: %v %v", name, refusal, err)
			continue
		}
		scanner := bufio.NewScanner(bytes.NewReader(data))
		for scanner.Scan() {
			var out batch.OutputLine
			if err := json.Unmarshal(scanner.Bytes(), &out); err != nil {
				v.add("line %q: %v", scanner.Text(), err)
			}
			lines = append(lines, line{out, failed})
		}
	}
	return lines
}

// checkLines checks that every item has exactly one line, and that a line of the
// output file has the answer to its own item. It returns the number of lines of
// each file.
func checkLines(v *violations, lines []line, items int) (good, failed int) {
	seen := map[string]int{}
	for _, l := range lines {
		seen[l.CustomID]++
		if l.failed {
			failed++
			continue
		}
		good++
		want := fmt.Sprintf(`{"echo":%q}`, l.CustomID)
		if l.Response == nil || string(l.Response.Body) != want {
			v.add("%s has the answer of another item", l.CustomID)
		}
	}
	for i := range items {
		if seen[customID(i)] != 1 {
			v.add("%s has %d lines", customID(i), seen[customID(i)])
		}
	}
	if len(lines) != items {
		v.add("%d lines for %d items", len(lines), items)
	}
	return good, failed
}
