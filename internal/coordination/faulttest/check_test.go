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

// verdicts collects what the checks found wrong.
type verdicts struct{ wrong []string }

func (v *verdicts) add(format string, args ...any) {
	v.wrong = append(v.wrong, fmt.Sprintf(format, args...))
}

func (w *world) jobOf(n *node, id protocol.JobID) (view ledger.JobView, found bool) {
	n.View(func(state *replica.State) { view, found = state.Ledger.Job(id) })
	return view, found
}

func (w *world) ended(id protocol.JobID) bool {
	for _, n := range w.live() {
		view, found := w.jobOf(n, id)
		if !found || view.Status == ledger.InProgress {
			return false
		}
	}
	return true
}

// checkOneJob: of all attempts with one key there is one job, every instance
// knows the same, each acknowledgement named it, and no attempt that was
// refused as not run is it.
func (w *world) checkOneJob(v *verdicts, c *client) {
	for _, n := range w.live() {
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
			v.add("try %s was refused as not run and is the job", jobs[0].Metadata["try"])
		}
	}
}

// checkAgreement: instances that replayed the same hold the same.
func (w *world) checkAgreement(v *verdicts) {
	w.reached(10*time.Second, func() bool {
		for _, n := range w.live() {
			if n.Applied() != w.live()[0].Applied() {
				return false
			}
		}
		return true
	})
	var first []byte
	for _, n := range w.live() {
		var data []byte
		n.View(func(state *replica.State) { data, _ = protocol.Marshal(state.Ledger.Snapshot()) })
		if first == nil {
			first = data
		}
		if !bytes.Equal(first, data) {
			v.add("%s holds another ledger", n.name)
		}
	}
}

// line is a line of a result file.
type line struct {
	batch.OutputLine
	failed bool
}

// readLines reads both result files of a job.
func (w *world) readLines(v *verdicts, c *client, id protocol.JobID) []line {
	if w.variant.lines != nil {
		return w.variant.lines(w, id)
	}
	var lines []line
	for _, failed := range []bool{false, true} {
		name := batch.OutputFileID(id)
		if failed {
			name = batch.ErrorFileID(id)
		}
		data, refusal, err := c.content(name)
		if err != nil || refusal != nil {
			v.add("%s not readable: %v %v", name, refusal, err)
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

// checkLines: every item has exactly one line, and a good one holds the answer
// to that very item.
func checkLines(v *verdicts, lines []line, items int) (good, failed int) {
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
			v.add("%s has a foreign answer", l.CustomID)
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
