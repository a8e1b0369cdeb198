// Package explain derives from log lines why a request, a batch job or an item
// ended as it did. It does no I/O but reading the lines that the caller passes in.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"
)

// maxLine is the length in bytes above which a line is skipped. Lines of tillerd
// have a few hundred bytes; a longer line comes from another program.
const maxLine = 64 << 10

// Record is one log line.
type Record struct {
	At time.Time
	// Source names the log that the line was read from, such as a file.
	Source string
	Event  string
	Fields map[string]string
	// Raw is the unparsed line.
	Raw string
}

// Number returns a field as a number, 0 if the field is missing or not a number.
func (r *Record) Number(field string) float64 {
	n, err := strconv.ParseFloat(r.Fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// Logs holds the lines of one or more instances, in the order in which they were
// read.
type Logs struct {
	Records []Record
	// Skipped counts the lines that are not log lines of tillerd.
	Skipped int
}

// Read adds the lines of a source. Instances write them as logfmt or as JSON, and
// both are read. Lines of other programs are counted and skipped.
func (l *Logs) Read(source string, from io.Reader) error {
	lines := bufio.NewReaderSize(from, maxLine)
	for {
		line, tooLong, err := lines.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "%s", source)
		}
		for rest := tooLong; rest; {
			if _, rest, err = lines.ReadLine(); err != nil {
				break
			}
		}
		record, ok := parse(strings.TrimSpace(string(line)))
		if !ok || tooLong {
			l.Skipped++
			continue
		}
		record.Source = source
		l.Records = append(l.Records, record)
	}
}

// parse reads one line and reports whether it is a log line of tillerd.
func parse(line string) (Record, bool) {
	fields, ok := parseFields(line)
	if !ok {
		return Record{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fields["at"])
	if err != nil || fields["event"] == "" {
		return Record{}, false
	}
	return Record{At: at, Event: fields["event"], Fields: fields, Raw: line}, true
}

// parseFields reads the fields of a line, which is JSON or logfmt.
func parseFields(line string) (map[string]string, bool) {
	fields := map[string]string{}
	if strings.HasPrefix(line, "{") {
		var values map[string]any
		if err := json.Unmarshal([]byte(line), &values); err != nil {
			return nil, false
		}
		for name, value := range values {
			fields[name] = fmt.Sprint(value)
		}
		return fields, true
	}
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields, decoder.Err() == nil
}
