package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// Output is the format in which a command prints its data.
type Output string

// The output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
	OutputYAML  Output = "yaml"
)

// result is what a command prints.
type result struct {
	// data is printed in the formats json and yaml.
	data any
	// table is printed in the format table.
	table table
	// summary says what the command did, next what the operator can do now. Both are
	// printed to the standard error, so that the data can be piped.
	summary, next string
	// dataPrinted reports whether the command has already printed its data.
	dataPrinted bool
}

// table holds a heading and rows of cells.
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

// show prints a result in the output format of the command line.
func (e *Env) show(r result) error {
	if err := e.showData(r); err != nil {
		return err
	}
	if r.summary != "" {
		fmt.Fprintln(e.Stderr, r.summary)
	}
	if r.next != "" {
		fmt.Fprintln(e.Stderr, "next: "+r.next)
	}
	return nil
}

func (e *Env) showData(r result) error {
	if r.dataPrinted {
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

// writeYAML converts through JSON, so that both formats have the same field names.
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
