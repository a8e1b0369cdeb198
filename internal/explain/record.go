// Package explain finds out from log lines why a request, a batch job or an item
// ended as it did. It is pure: lines come in, a story goes out.
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

// maxLine is the longest line that is read, in bytes. Lines of ours are some
// hundred; a longer one is somebody else's.
const maxLine = 64 << 10

// Record is one line.
type Record struct {
	At time.Time
	// Source is where the line was read, such as a file's name.
	Source string
	Event  string
	Fields map[string]string
	// Raw is the line as it was written.
	Raw string
}

// Number gives a field as a number, 0 if it is none.
func (r *Record) Number(field string) float64 {
	n, err := strconv.ParseFloat(r.Fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// Logs are the lines of one or more instances, in the order of time.
type Logs struct {
	Records []Record
	// Foreign counts the lines that are none of ours.
	Foreign int
}

// Read adds the lines of a source, in either of the forms in which instances
// write them. Lines of other programs in between are counted and left out.
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
			l.Foreign++
			continue
		}
		record.Source = source
		l.Records = append(l.Records, record)
	}
}

// parse reads one line.
func parse(line string) (Record, bool) {
	fields, ok := keyValues(line)
	if !ok {
		return Record{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fields["at"])
	if err != nil || fields["event"] == "" {
		return Record{}, false
	}
	return Record{At: at, Event: fields["event"], Fields: fields, Raw: line}, true
}

func keyValues(line string) (map[string]string, bool) {
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
