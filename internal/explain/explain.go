package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// backgroundWindow is how long before the first line of an id and after its last one
// other events of the same instance count as background. Instances detect outages by
// checks every half second and log them after one or two checks.
const backgroundWindow = 2 * time.Second

// Kind says what an id names.
type Kind string

// Kinds of ids; None if no line names the id.
const (
	Request Kind = "request"
	Job     Kind = "job"
	Item    Kind = "item"
	None    Kind = "nothing"
)

// Explanation says how the request, job or item with an id ended, and why.
type Explanation struct {
	ID   string
	Kind Kind
	// Lines are the lines that name the id. Background holds the state changes that
	// the same instances logged around that time, and what the owners of the partitions
	// that Lines name logged of loading them.
	Lines, Background []Record
	// Causes are sentences that say what happened and why: first those from Lines,
	// then those from Background, each in the order of time.
	Causes []string
}

// idFields are the fields that hold an id, with the kind of the id.
var idFields = []struct {
	field string
	kind  Kind
}{{"request", Request}, {"job", Job}, {"item", Item}}

// Explain says how a request, a job or an item ended, and why.
func (l *Logs) Explain(id string) Explanation {
	explanation := Explanation{ID: id, Kind: None}
	for _, record := range l.Records {
		if kind, ok := kindOf(&record, id); ok {
			explanation.Lines = append(explanation.Lines, record)
			// The lines of an item name its job too. An explanation of the job
			// includes all of them, so Job takes precedence.
			if explanation.Kind == None || kind == Job {
				explanation.Kind = kind
			}
		}
	}
	explanation.Lines = append(explanation.Lines, l.endsOfRepeats(id, explanation.Lines)...)
	byTime(explanation.Lines)
	explanation.Background = l.backgroundOf(explanation.Lines)
	explanation.Causes = causes(&explanation, l)
	return explanation
}

// endEvents are the events that tell which targets ended under a request.
var endEvents = map[string]bool{"request_target_ended": true, "request_ends_learned": true, "request_ends_acquitted": true}

// endsOfRepeats returns the lines on targets that ended under other runs of a request: a caller repeats
// it, or resumes its stream, under other ids. The lines of all of them have the same key.
func (l *Logs) endsOfRepeats(id string, lines []Record) (out []Record) {
	keys := map[string]bool{}
	for _, line := range lines {
		if key := line.Fields["key"]; key != "" {
			keys[key] = true
		}
	}
	for _, record := range l.Records {
		if _, own := kindOf(&record, id); !own && endEvents[record.Event] && keys[record.Fields["key"]] {
			out = append(out, record)
		}
	}
	return out
}

// kindOf reports whether a line names an id, and what the id is.
func kindOf(record *Record, id string) (Kind, bool) {
	for _, f := range idFields {
		if record.Fields[f.field] == id {
			return f.kind, true
		}
	}
	return None, false
}

func byTime(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return a.At.Compare(b.At) })
}

// stateEvents are the events that record a change in the state of an instance or in
// its view of peers, store and targets.
var stateEvents = map[string]bool{
	"started": true, "rate_levels": true, "leaving": true, "left": true, "config_in_force": true, "store_back": true, "store_watch_failed": true,
	"peer_state": true, "domain_silent": true, "target_unlisted": true, "target_leaving": true, "target_replaced": true, "target_pace_differs": true, "slots_scarce": true, "broker_unanswered": true, "jobs_dealt": true,
	"target_crash_checked": true, "part_closed": true, "part_suspended": true, "part_opened": true, "part_trial": true,
	"request_closed": true, "request_opened": true, "request_trial": true, "trial_undecided": true,
	"jobs_given_way": true, "jobs_join_failed": true, "lines_left_out": true, "log_dropped": true,
}

// backgroundOf returns the state events that the instances of some lines logged
// within backgroundWindow of the lines, and in the same time the loads of the
// partitions that the lines name and the calls of the store by those instances and
// the partitions' owners.
func (l *Logs) backgroundOf(lines []Record) []Record {
	if len(lines) == 0 {
		return nil
	}
	sources := map[string]bool{}
	for _, line := range lines {
		sources[line.Source] = true
	}
	from, to := startOf(&lines[0]).Add(-backgroundWindow), lines[len(lines)-1].At.Add(backgroundWindow)
	out := l.ownerLoads(lines, from, to)
	callers := maps.Clone(sources)
	for _, load := range out {
		callers[load.Source] = true
	}
	for _, r := range l.Records {
		ofInterest := sources[r.Source] && stateEvents[r.Event] || callers[r.Source] && r.Event == "store_calls"
		if ofInterest && r.At.After(from) && r.At.Before(to) {
			out = append(out, r)
		}
	}
	byTime(out)
	return out
}

// startOf returns when the work that a line reports began: a line that is written at
// the end of the work has its duration.
func startOf(r *Record) time.Time {
	return r.At.Add(-time.Duration(r.Number("took_ms")) * time.Millisecond)
}

// Count is the number of lines with the same event, outcome and reason.
type Count struct {
	Event, Outcome, Reason string
	Lines                  int
	// Instances is the number of instances that wrote such lines.
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

// span returns the times of the first and the last line of a source. They show
// whether the instance could have logged an event at a given time.
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

// sources returns the distinct sources of the lines, sorted.
func (l *Logs) sources() []string {
	var out []string
	for _, r := range l.Records {
		if at, found := slices.BinarySearch(out, r.Source); !found {
			out = slices.Insert(out, at, r.Source)
		}
	}
	return out
}

// restarts returns the lines of process starts, except the first of each source.
func (l *Logs) restarts() (restarted []Record) {
	seen := map[string]bool{}
	for _, r := range l.Records {
		if r.Event != "started" {
			continue
		}
		if seen[r.Source] {
			restarted = append(restarted, r)
		}
		seen[r.Source] = true
	}
	return restarted
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

func seconds(ms float64) string { return fmt.Sprintf("%.2f s", ms/1000) }
