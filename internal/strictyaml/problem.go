// Package strictyaml decodes hand-written YAML files and reports the file, line and
// field of every mistake.
//
// The YAML library either ignores unknown fields or does not name the field in its
// errors. An operator who mistypes "burst" would publish an organisation with a burst
// of 0, and all of its requests would be rejected. Decode reports such a mistake
// instead, and callers reject the complete file.
package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	// File is the path of the file as it was passed to Decode.
	File string
	// Line is the line number, counted from 1; 0 stands for the complete file.
	Line int
	// Field is the path of the field, such as "listen.callers". It is empty
	// for the document itself.
	Field string
	// Message describes the mistake.
	Message string
}

// String returns "file:line: field: message".
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return location + ": " + p.Message
	}
	return location + ": " + p.Field + ": " + p.Message
}

// Problems is a list of mistakes. Err returns nil for an empty list.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by file and line, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := append(Problems(nil), p...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].File != sorted[j].File {
			return sorted[i].File < sorted[j].File
		}
		return sorted[i].Line < sorted[j].Line
	})
	return sorted
}
