package ctl

import (
	"fmt"
	"net/url"
	"os"

	"merlintiller/internal/burn"
	"merlintiller/internal/burn/page"
	"merlintiller/internal/transport/operatorapi"
)

type burnCommand struct {
	Organisation string `help:"Only this organisation."`
	HTML         string `help:"Write the report as one self-contained page with plots." placeholder:"FILE"`
}

// Help shows examples.
func (burnCommand) Help() string {
	return joinLines("Shows how fast each organisation uses up the failures that its objectives allow. A burn of 1 uses them up",
		"exactly in the period. Instances that could not be reached are named; their calls are not counted.",
		"", "Example: tillerctl burn --html burn.html --instance 10.0.0.1:8003")
}

// Run fetches and shows the report.
func (c *burnCommand) Run(env *Env) error {
	path := operatorapi.PathBurn
	if c.Organisation != "" {
		path += "?organisation=" + url.QueryEscape(c.Organisation)
	}
	var report burn.Report
	if err := env.Operator.Get(env.Context, path, &report); err != nil {
		return err
	}
	summary := fmt.Sprintf("%d objectives over %d instances", len(report.Lines), len(report.Merged))
	if len(report.Unreached) > 0 {
		summary += fmt.Sprintf("; not reached, so not counted: %v", report.Unreached)
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, report); err != nil {
			return err
		}
		summary += "; page written to " + c.HTML
	}
	return env.show(result{data: report, table: burnTable(report), summary: summary, next: burnNext(report)})
}

func writePage(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fail(ExitBadInput, "give a file that can be written", "%v", err)
	}
	err = page.Write(file, report)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func burnTable(report burn.Report) table {
	t := table{heading: []string{"ORGANISATION", "SERVICE", "SIGNAL", "OBJECTIVE", "5M", "30M", "1H", "6H", "P50", "P95", "P99", "ALARM"}}
	for _, line := range report.Lines {
		cells := []string{string(line.Organisation), string(line.Service), line.Signal, share(line.Objective)}
		for _, window := range line.Windows {
			cells = append(cells, fmt.Sprintf("%.2f (%d/%d)", window.Burn, window.Bad, window.Good+window.Bad))
		}
		quantiles := []string{"-", "-", "-"}
		if q := line.Latency; q != nil {
			quantiles = []string{fmt.Sprintf("%.1f ms", q.P50), fmt.Sprintf("%.1f ms", q.P95), fmt.Sprintf("%.1f ms", q.P99)}
		}
		cells = append(cells, quantiles...)
		t.rows = append(t.rows, append(cells, string(line.Alarm)))
	}
	return t
}

func burnNext(report burn.Report) string {
	for _, line := range report.Lines {
		if line.Alarm == burn.AlarmFast {
			return "act now on " + string(line.Organisation) + ": docs/OPERATIONS.md, fast burn"
		}
	}
	for _, line := range report.Lines {
		if line.Alarm == burn.AlarmSlow {
			return "check today " + string(line.Organisation) + ": docs/OPERATIONS.md, slow burn"
		}
	}
	return "nothing"
}
