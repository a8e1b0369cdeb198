package explain

import (
	"fmt"
	"strings"
)

// background describes the background events that explain failures. An event that an
// instance logs repeatedly is listed once, with the times of its first and last line.
func background(explanation *Explanation) []string {
	type entry struct{ source, sentence string }
	index := map[entry]int{} // position in out
	var out []string
	for i := range explanation.Background {
		r := &explanation.Background[i]
		sentence := describeBackground(explanation, r)
		if sentence == "" {
			continue
		}
		key := entry{r.Source, sentence}
		if at, repeated := index[key]; repeated {
			first, _, _ := strings.Cut(out[at], " (repeated until ")
			out[at] = fmt.Sprintf("%s (repeated until %s)", first, clock(r.At))
			continue
		}
		index[key] = len(out)
		out = append(out, fmt.Sprintf("meanwhile %s %s: %s", clock(r.At), r.Source, sentence))
	}
	return out
}

func describeBackground(explanation *Explanation, r *Record) string {
	switch r.Event {
	case "config_in_force":
		return fmt.Sprintf("configuration %s took effect, from %s", r.Fields["version"], r.Fields["from"])
	case "rate_levels":
		return fmt.Sprintf("has the levels of the rates from %s, knows %s instances", r.Fields["from"], r.Fields["instances"])
	case "part_closed":
		return fmt.Sprintf("the prompt parts %s were closed, known from %s: %s", r.Fields["closed_parts"], r.Fields["from"], describeEvidence(r))
	case "part_suspended":
		return fmt.Sprintf("the prompt parts %s were suspended until one request has tried them, known from %s: %s", r.Fields["suspended_parts"], r.Fields["from"], describeEvidence(r))
	case "request_closed":
		return fmt.Sprintf("the request %s was closed, known from %s: targets %s ended while they ran it", r.Fields["closed_parts"], r.Fields["from"], r.Fields["targets"])
	case "request_opened":
		return fmt.Sprintf("the request %s was opened: a target completed it, or the targets ended under another one", r.Fields["closed_parts"])
	case "request_trial":
		return fmt.Sprintf("the closed request %s may go to one target", r.Fields["closed_parts"])
	case "trial_undecided":
		return fmt.Sprintf("the trial of request %s ended without a result after targets had worked on it for %s", r.Fields["request"], seconds(r.Number("ran_ms")))
	case "part_opened":
		return fmt.Sprintf("the prompt parts %s were opened: a request with them got its first event", partsOf(r))
	case "part_trial":
		return fmt.Sprintf("one request may try the closed prompt parts %s", partsOf(r))
	case "target_crash_checked":
		return describeCrashCheck(r)
	case "store_watch_failed":
		return fmt.Sprintf("the store did not answer (%s)", innermostError(r))
	case "store_back":
		return fmt.Sprintf("the store answered again after %s", seconds(r.Number("away_ms")))
	case "domain_silent":
		if r.Fields["silent"] == "true" {
			return fmt.Sprintf("no instance of failure domain %s was reachable any more", r.Fields["domain"])
		}
		return fmt.Sprintf("failure domain %s was reachable again", r.Fields["domain"])
	case "broker_unanswered":
		return fmt.Sprintf("broker %s of failure domain %s did not answer", r.Fields["broker"], r.Fields["domain"])
	case "slots_scarce":
		return fmt.Sprintf("slots of failure domain %s were scarce (%s free per second, %s requests per second); requests were rejected", r.Fields["domain"], r.Fields["freed_per_s"], r.Fields["arriving_per_s"])
	case "target_unlisted":
		if !explanation.mentions(r.Fields["target"]) {
			return ""
		}
		return fmt.Sprintf("target %s was no longer listed", r.Fields["target"])
	case "target_leaving":
		if !explanation.mentions(r.Fields["target"]) {
			return ""
		}
		return fmt.Sprintf("target %s said that it leaves", r.Fields["target"])
	case "target_replaced":
		if !explanation.mentions(r.Fields["target"]) {
			return ""
		}
		return fmt.Sprintf("another target uses the address of target %s, %s brokers were told", r.Fields["target"], r.Fields["brokers"])
	case "target_pace_differs":
		if !explanation.mentions(r.Fields["target"]) {
			return ""
		}
		return fmt.Sprintf("target %s reported that work takes %s%% of the usual time there; broker %s had assumed %s%%", r.Fields["target"],
			r.Fields["pace"], r.Fields["broker"], r.Fields["stated"])
	case "leaving":
		return "the instance began to shut down"
	case "jobs_load_failed", "jobs_loaded":
		return describeOwnerLoad(r)
	case "lines_left_out", "log_dropped":
		return fmt.Sprintf("%s log lines were dropped", r.Fields["lines"])
	default:
		return ""
	}
}

// mentions reports whether a line that names the id also names the target.
func (e *Explanation) mentions(target string) bool {
	for i := range e.Lines {
		if e.Lines[i].Fields["target"] == target {
			return true
		}
	}
	return false
}
