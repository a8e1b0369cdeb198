// Package strictyaml decodes YAML files that people write, and says for every
// mistake in which file, on which line and in which field it stands.
//
// The YAML library drops unknown fields or names no field in its errors. An
// operator who mistypes "burst" would then publish an organisation with the
// burst of 0 and see it refused everywhere. Decode refuses such a file whole.
package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	// File is the path as it was given.
	File string
	// Line counts from 1; 0 means the file as a whole.
	Line int
	// Field is the path of the field, such as "listen.callers". It is empty
	// for the document itself.
	Field string
	// Message says what is wrong.
	Message string
}

// String gives "file:line: field: message".
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Field + ": " + p.Message
}

// Problems are all mistakes that were found. An empty list is no error.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of file and line, or nil if there are
// none.
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
