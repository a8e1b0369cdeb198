package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// describeStoreRead says why a call on a job was answered from the store, and how that ended.
func describeStoreRead(r *Record) string {
	text := fmt.Sprintf("call %q on the job read partition %s of the store instead of asking its owner, since %s: %s after %s",
		r.Fields["call"], r.Fields["partition"], storeReadReason(r), storeReadOutcome(r), seconds(r.Number("took_ms")))
	if err := innermostError(r); err != "" {
		text += " (" + err + ")"
	}
	return text
}

func storeReadReason(r *Record) string {
	owner := r.Fields["owner"]
	switch r.Fields["why"] {
	case "no_owner_known":
		return "no owner was known"
	case "owner_not_reached":
		return fmt.Sprintf("owner %s did not answer (%s)", owner, lastPart(r.Fields["owner_err"]))
	case "owner_not_loaded":
		return fmt.Sprintf("owner %s had not loaded the partition", owner)
	case "owner_missing":
		return fmt.Sprintf("owner %s did not know the job", owner)
	case "not_held":
		return fmt.Sprintf("%s was no longer the owner", owner)
	case "cancel":
		return "its owner could not be asked to cancel it"
	case "for_peer":
		return "another instance that could not read the store asked for it"
	default:
		return strings.ReplaceAll(r.Fields["why"], "_", " ")
	}
}

// storeReadOutcome says how a read ended; whole says that the instance had to read the whole
// partition.
func storeReadOutcome(r *Record) string {
	if r.Fields["whole"] == "true" {
		return strings.ReplaceAll(r.Fields["outcome"], "_", " ") + ", reading the whole partition,"
	}
	return strings.ReplaceAll(r.Fields["outcome"], "_", " ")
}

// ownerLoads returns the lines with which owners of the partitions that some lines name
// report that they loaded them or failed to, from any instance.
func (l *Logs) ownerLoads(lines []Record, from, to time.Time) (out []Record) {
	partitions := map[string]bool{}
	for i := range lines {
		if lines[i].Event == "job_read_from_store" || lines[i].Event == "job_call_not_done" {
			partitions[lines[i].Fields["partition"]] = true
		}
	}
	for _, r := range l.Records {
		isLoad := r.Event == "jobs_load_failed" || r.Event == "jobs_loaded"
		if isLoad && r.Fields["owned"] == "true" && partitions[r.Fields["partition"]] && r.At.After(from) && r.At.Before(to) {
			out = append(out, r)
		}
	}
	return out
}

func describeOwnerLoad(r *Record) string {
	if r.Event == "jobs_loaded" {
		return fmt.Sprintf("the owner loaded partition %s", r.Fields["partition"])
	}
	return fmt.Sprintf("the owner could not load partition %s (%s)", r.Fields["partition"], innermostError(r))
}

// callSums sums up the calls of one kind that an instance made to the store.
type callSums struct {
	source, kind                        string
	from, to                            time.Time
	calls, unanswered, received, unused float64
}

// storeCalls gives one sentence for each kind of calls to the store that an instance logged:
// it logs a line each two seconds, and a job may last for minutes.
func storeCalls(background []Record) []string {
	type key struct{ source, call, topic string }
	sums := map[key]*callSums{}
	for i := range background {
		r := &background[i]
		if r.Event != "store_calls" {
			continue
		}
		k := key{r.Source, r.Fields["call"], r.Fields["topic"]}
		if sums[k] == nil {
			sums[k] = &callSums{source: r.Source, kind: strings.TrimSpace(k.call + " " + k.topic), from: r.At}
		}
		sums[k].add(r)
	}
	list := make([]*callSums, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *callSums) int {
		return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.kind, b.kind))
	})
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.String())
	}
	return out
}

func (s *callSums) add(r *Record) {
	s.to = r.At
	s.calls += r.Number("calls")
	for _, outcome := range []string{"not_performed", "throttled", "timed_out", "failed", "not_connected"} {
		s.unanswered += r.Number(outcome)
	}
	s.received += r.Number("received_bytes") + r.Number("cut_off_bytes")
	s.unused += r.Number("cut_off_bytes") + r.Number("unused_page_bytes")
}

// String returns the sentence.
func (s *callSums) String() string {
	return fmt.Sprintf("meanwhile %s %s: store call %q until %s: %.0f calls, %.0f of them in vain; %.0f KB received, %.0f KB of them thrown away",
		clock(s.from), s.source, s.kind, clock(s.to), s.calls, s.unanswered, s.received/1024, s.unused/1024)
}
