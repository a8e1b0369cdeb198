package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"merlintiller/internal/explain"
)

type explainCommand struct {
	ID   string   `arg:"" help:"Id of a request, a batch job or an item."`
	Logs []string `required:"" help:"Log file of an instance, or a folder of such files. May be given several times." placeholder:"FILE"`
}

// Help shows examples.
func (explainCommand) Help() string {
	return joinLines("Sorts the lines of all instances that name the id by time, and says what happened and why.",
		"The name of a file, without its extension, is taken as the name of the instance.",
		"", "Example: tillerctl explain 9c41d07be2a35f68 --logs logs/")
}

type logsCommands struct {
	Summary logsSummary `cmd:"" help:"Count log lines by event, outcome and reason."`
}

type logsSummary struct {
	Files []string `arg:"" help:"Log files of instances, or folders of such files."`
}

// Help shows examples.
func (logsSummary) Help() string {
	return joinLines("Example: tillerctl logs summary logs/")
}

// Run explains an id.
func (c *explainCommand) Run(env *Env) error {
	if c.ID == "" {
		return fail(ExitBadInput, "give the id of a request, a job or an item", "the id is empty")
	}
	logs, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	explanation := logs.Explain(c.ID)
	data := map[string]any{"id": explanation.ID, "kind": explanation.Kind, "causes": explanation.Causes, "lines": rawLines(explanation.Lines), "beside": rawLines(explanation.Background)}
	out := table{heading: []string{strings.ToUpper(string(explanation.Kind)) + " " + explanation.ID}}
	for _, cause := range explanation.Causes {
		out.add(cause)
	}
	summary := fmt.Sprintf("%d lines name the id, of %d read (%d lines of other programs skipped)", len(explanation.Lines), len(logs.Records), logs.Skipped)
	return env.show(result{data: data, table: out, summary: summary, next: "-o json prints the lines themselves"})
}

// Run counts the lines by event, outcome and reason.
func (c *logsSummary) Run(env *Env) error {
	logs, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	counts := logs.Summary()
	out := table{heading: []string{"LINES", "INSTANCES", "EVENT", "OUTCOME", "REASON"}}
	for _, count := range counts {
		out.add(fmt.Sprint(count.Lines), fmt.Sprint(count.Instances), count.Event, count.Outcome, count.Reason)
	}
	summary := fmt.Sprintf("%d lines read (%d lines of other programs skipped)", len(logs.Records), logs.Skipped)
	return env.show(result{data: counts, table: out, summary: summary})
}

func rawLines(records []explain.Record) []string {
	out := make([]string, len(records))
	for i := range records {
		out[i] = records[i].Source + ": " + records[i].Raw
	}
	return out
}

// readLogs reads log files, and all files of folders.
func readLogs(paths []string) (*explain.Logs, error) {
	var logs explain.Logs
	for _, path := range paths {
		files, err := logFiles(path)
		if err != nil {
			return nil, fail(ExitBadInput, "give log files that can be read", "%v", err)
		}
		for _, file := range files {
			if err := readLog(&logs, file); err != nil {
				return nil, fail(ExitBadInput, "give log files that can be read", "%v", err)
			}
		}
	}
	if len(logs.Records) == 0 {
		return nil, fail(ExitBadInput, "give files with the output of tillerd", "no line of tillerd in %s", strings.Join(paths, ", "))
	}
	return &logs, nil
}

func logFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			files = append(files, filepath.Join(path, entry.Name()))
		}
	}
	return files, nil
}

func readLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	name := filepath.Base(path)
	return logs.Read(strings.TrimSuffix(name, filepath.Ext(name)), file)
}
