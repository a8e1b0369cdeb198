package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// around is how long before a request's first line and after its last one other
// events of the same instance may have to do with it. Outages show within one or
// two of their periods of half a second.
const around = 2 * time.Second

// Kind is what an id names.
type Kind string

// The kinds.
const (
	Request Kind = "request"
	Job     Kind = "job"
	Item    Kind = "item"
	Nothing Kind = "nothing"
)

// Story is what became of an id.
type Story struct {
	ID   string
	Kind Kind
	// Lines are those that name the id, Beside what the same instances came to
	// believe meanwhile.
	Lines, Beside []Record
	// Causes say in plain words what happened and why, in the order of time.
	Causes []string
}

// idFields are the fields that name an id, by what it then is.
var idFields = []struct {
	field string
	kind  Kind
}{{"request", Request}, {"job", Job}, {"item", Item}}

// Explain tells what became of a request, a job or an item.
func (l *Logs) Explain(id string) Story {
	story := Story{ID: id, Kind: Nothing}
	for _, record := range l.Records {
		if kind, ok := names(&record, id); ok {
			story.Lines = append(story.Lines, record)
			// An item's line names its job too; whoever asks for the job wants
			// all of them.
			if story.Kind == Nothing || kind == Job {
				story.Kind = kind
			}
		}
	}
	byTime(story.Lines)
	story.Beside = l.beside(story.Lines)
	story.Causes = causes(&story, l)
	return story
}

func names(record *Record, id string) (Kind, bool) {
	for _, f := range idFields {
		if record.Fields[f.field] == id {
			return f.kind, true
		}
	}
	return Nothing, false
}

func byTime(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return a.At.Compare(b.At) })
}

// believed are the events by which an instance changes what it believes.
var believed = map[string]bool{
	"started": true, "leaving": true, "left": true, "config_in_force": true, "store_back": true, "store_watch_failed": true,
	"peer_state": true, "domain_silent": true, "target_unlisted": true, "broker_unanswered": true, "jobs_dealt": true,
	"jobs_given_way": true, "jobs_join_failed": true, "lines_left_out": true, "log_dropped": true,
}

// beside gives what the instances of some lines came to believe around them.
func (l *Logs) beside(lines []Record) []Record {
	if len(lines) == 0 {
		return nil
	}
	sources := map[string]bool{}
	for _, line := range lines {
		sources[line.Source] = true
	}
	from, to := began(&lines[0]).Add(-around), lines[len(lines)-1].At.Add(around)
	var out []Record
	for _, r := range l.Records {
		if sources[r.Source] && believed[r.Event] && r.At.After(from) && r.At.Before(to) {
			out = append(out, r)
		}
	}
	byTime(out)
	return out
}

// began is when what a line tells of began: a line at the end says how long it
// took.
func began(r *Record) time.Time {
	return r.At.Add(-time.Duration(r.Number("took_ms")) * time.Millisecond)
}

// Count is how often an event came with an outcome.
type Count struct {
	Event, Outcome, Reason string
	Lines                  int
	// Instances is how many instances wrote such lines.
	Instances int
}

// Summary counts the lines of each event by outcome and reason, the most frequent
// first.
func (l *Logs) Summary() []Count {
	type key struct{ event, outcome, reason string }
	counts := map[key]*Count{}
	sources := map[key]map[string]bool{}
	for i := range l.Records {
		r := &l.Records[i]
		k := key{r.Event, cmp.Or(r.Fields["outcome"], r.Fields["how"]), r.Fields["reason"]}
		if counts[k] == nil {
			counts[k] = &Count{Event: k.event, Outcome: k.outcome, Reason: k.reason}
			sources[k] = map[string]bool{}
		}
		counts[k].Lines++
		sources[k][r.Source] = true
	}
	out := make([]Count, 0, len(counts))
	for k, count := range counts {
		count.Instances = len(sources[k])
		out = append(out, *count)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Event, b.Event), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// span is the time from the first to the last line of a source, for those who ask
// whether an instance could have written of something.
func (l *Logs) span(source string) (from, to time.Time) {
	for _, r := range l.Records {
		if r.Source != source {
			continue
		}
		if from.IsZero() || r.At.Before(from) {
			from = r.At
		}
		if r.At.After(to) {
			to = r.At
		}
	}
	return from, to
}

// sources names where the lines come from.
func (l *Logs) sources() []string {
	var out []string
	for _, r := range l.Records {
		if at, found := slices.BinarySearch(out, r.Source); !found {
			out = slices.Insert(out, at, r.Source)
		}
	}
	return out
}

// starts gives the moments at which processes started, after the first of each
// source.
func (l *Logs) starts() (again []Record) {
	seen := map[string]bool{}
	for _, r := range l.Records {
		if r.Event != "started" {
			continue
		}
		if seen[r.Source] {
			again = append(again, r)
		}
		seen[r.Source] = true
	}
	return again
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

func seconds(ms float64) string { return fmt.Sprintf("%.2f s", ms/1000) }
