// Package matrix summarises the fault matrix from the events of `go test -json`.
// A cell is a subtest TestMatrix…/<step>/<fault> that logs one line
// `matrix step=… fault=… result=held|not-applicable reason="…"`.
package matrix

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
)

// maxLine is the maximum size in bytes of one event of the test runner.
const maxLine = 1 << 20

// Result is the outcome of a cell.
type Result string

// The results of cells. Held means that the checks passed under the fault. A cell
// is red if its test failed, whatever result it logged.
const (
	Held          Result = "held"
	Red           Result = "red"
	NotApplicable Result = "not-applicable"
)

// Cell is the result of one fault injected at one step.
type Cell struct {
	Step   string
	Fault  string
	Result Result
	// Reason is the logged reason, which for a cell that is not applicable says
	// why the fault cannot occur.
	Reason string
	// Test is the package and name of the test, separated by a space.
	Test string
}

// Report is the whole matrix.
type Report struct {
	Cells []Cell
	// FailedTests holds failed tests that are not a cell, for example of a package
	// that did not build.
	FailedTests []string
}

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

var line = regexp.MustCompile(`matrix step=(\S+) fault=(\S+) result=(held|not-applicable)(?: reason="([^"]*)")?`)

// Read collects the cells from the events of `go test -json`.
func Read(r io.Reader) (*Report, error) {
	cells := map[string]*Cell{}
	failed := map[string]bool{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("event %q: %w", scanner.Text(), err)
		}
		collect(e, cells, failed)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	return report(cells, failed), nil
}

func collect(e event, cells map[string]*Cell, failed map[string]bool) {
	name := e.Package + " " + e.Test
	if e.Action == "fail" {
		failed[name] = true
	}
	match := line.FindStringSubmatch(e.Output)
	if match == nil {
		return
	}
	cells[name+" "+match[1]+"/"+match[2]] = &Cell{Step: match[1], Fault: match[2], Result: Result(match[3]), Reason: match[4], Test: name}
}

// report marks the cells of failed tests as red. It includes failed tests that
// logged no cell, so that a cell that failed before it could log is not lost.
func report(cells map[string]*Cell, failed map[string]bool) *Report {
	out := &Report{}
	logged := map[string]bool{}
	for _, cell := range cells {
		logged[cell.Test] = true
		if failed[cell.Test] {
			cell.Result = Red
		}
		out.Cells = append(out.Cells, *cell)
	}
	for name := range failed {
		if isParent(name, failed) {
			continue
		}
		if cell, ok := cellName(name); ok && !logged[name] {
			out.Cells = append(out.Cells, cell)
			continue
		}
		if !logged[name] {
			out.FailedTests = append(out.FailedTests, name)
		}
	}
	sort.Slice(out.Cells, func(i, j int) bool { return out.Cells[i].key() < out.Cells[j].key() })
	sort.Strings(out.FailedTests)
	return out
}

// isParent reports whether a failed test is the parent of another failed test.
func isParent(name string, failed map[string]bool) bool {
	for other := range failed {
		if strings.HasPrefix(other, name+"/") {
			return true
		}
		if strings.HasSuffix(name, " ") && len(other) > len(name) && strings.HasPrefix(other, name) {
			return true
		}
	}
	return false
}

func (c Cell) key() string { return c.Step + " " + c.Fault + " " + c.Test }

// cellName returns a red cell with the step and fault from the test name
// TestMatrix…/<step>/<fault>, or false if the name has another form.
func cellName(name string) (Cell, bool) {
	_, test, _ := strings.Cut(name, " ")
	parts := strings.Split(test, "/")
	if len(parts) != 3 || !strings.HasPrefix(test, "TestMatrix") {
		return Cell{}, false
	}
	return Cell{Step: parts[1], Fault: parts[2], Result: Red, Test: name}, true
}

// Count returns the number of cells with a result.
func (r *Report) Count(result Result) int {
	count := 0
	for _, cell := range r.Cells {
		if cell.Result == result {
			count++
		}
	}
	return count
}

// Write prints a row for each step, the reasons, and the totals as the last line.
func (r *Report) Write(w io.Writer) {
	r.writeRows(w)
	for _, cell := range r.Cells {
		if cell.Result == NotApplicable {
			fmt.Fprintf(w, "not-applicable step=%s fault=%s reason=%q\n", cell.Step, cell.Fault, cell.Reason)
		}
		if cell.Result == Red {
			fmt.Fprintf(w, "red step=%s fault=%s test=%q\n", cell.Step, cell.Fault, cell.Test)
		}
	}
	for _, name := range r.FailedTests {
		fmt.Fprintf(w, "failed test=%q\n", name)
	}
	fmt.Fprintf(w, "matrix cases=%d held=%d red=%d not-applicable=%d\n",
		len(r.Cells), r.Count(Held), r.Count(Red), r.Count(NotApplicable))
}

func (r *Report) writeRows(w io.Writer) {
	row := map[string][]string{}
	var steps []string
	for _, cell := range r.Cells {
		if _, ok := row[cell.Step]; !ok {
			steps = append(steps, cell.Step)
		}
		row[cell.Step] = append(row[cell.Step], cell.Fault+":"+string(cell.Result))
	}
	for _, step := range steps {
		fmt.Fprintf(w, "step=%s %s\n", step, strings.Join(row[step], " "))
	}
}
