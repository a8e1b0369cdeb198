package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// Output is the form in which a command prints its data.
type Output string

// The output forms.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
	OutputYAML  Output = "yaml"
)

// result is what a command has to show.
type result struct {
	// data is printed in the forms json and yaml.
	data any
	// table is printed in the form table.
	table table
	// did says what the command did, next what to do now. Both go to the
	// error stream, so that data can be piped on.
	did, next string
	// quiet says that the command has printed its data itself.
	quiet bool
}

// table is a heading and rows of cells.
type table struct {
	heading []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) write(w io.Writer) error {
	if len(t.heading) == 0 {
		return nil
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(t.heading, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return out.Flush()
}

// show prints a result in the form that the operator chose.
func (e *Env) show(r result) error {
	if err := e.showData(r); err != nil {
		return err
	}
	if r.did != "" {
		fmt.Fprintln(e.Stderr, r.did)
	}
	if r.next != "" {
		fmt.Fprintln(e.Stderr, "next: "+r.next)
	}
	return nil
}

func (e *Env) showData(r result) error {
	if r.quiet {
		return nil
	}
	switch e.Output {
	case OutputJSON:
		out := json.NewEncoder(e.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(r.data)
	case OutputYAML:
		return writeYAML(e.Stdout, r.data)
	default:
		return r.table.write(e.Stdout)
	}
}

// writeYAML goes through JSON, so that both forms have the same field names.
func writeYAML(w io.Writer, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	var generic any
	if err := json.Unmarshal(encoded, &generic); err != nil {
		return err
	}
	out := yaml.NewEncoder(w)
	out.SetIndent(2)
	if err := out.Encode(generic); err != nil {
		return err
	}
	return out.Close()
}
