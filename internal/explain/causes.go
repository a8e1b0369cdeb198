package explain

import (
	"fmt"
	"strings"
)

// causes tells a story in plain words.
func causes(story *Story, logs *Logs) []string {
	if len(story.Lines) == 0 {
		return unknown(logs)
	}
	var out []string
	ended := false
	for i := range story.Lines {
		r := &story.Lines[i]
		if sentence := sentenceOf(r); sentence != "" {
			out = append(out, clock(r.At)+" "+r.Source+": "+sentence)
		}
		ended = ended || r.Event == "request"
	}
	if story.Kind == Request && !ended {
		out = append(out, unended(&story.Lines[len(story.Lines)-1], logs))
	}
	if len(out) == 0 {
		out = append(out, "its lines tell of no decision: see them with -o json")
	}
	return append(out, background(story)...)
}

// sentenceOf tells one line in plain words.
func sentenceOf(r *Record) string {
	switch r.Event {
	case "request":
		return requestSentence(r)
	case "request_placed":
		return fmt.Sprintf("sent to target %s (%s of its %s places taken) after %s, chosen by %s",
			r.Fields["target"], r.Fields["busy"], r.Fields["slots"], seconds(r.Number("waited_ms")), broker(r))
	case "attempt_failed":
		return attemptSentence(r)
	case "job_submitted":
		return fmt.Sprintf("job of %s items came in; its caller was told %q", r.Fields["items"], r.Fields["outcome"])
	case "job_ended":
		return fmt.Sprintf("its caller ended the job: %s", r.Fields["outcome"])
	case "item_run":
		return itemSentence(r)
	case "item_yields":
		return fmt.Sprintf("item %s gave its place at %s to an online request", r.Fields["item"], r.Fields["target"])
	case "item_failed":
		return fmt.Sprintf("item %s was given up: %s", r.Fields["item"], failedReasons[r.Fields["reason"]])
	case "item_handed_over":
		return fmt.Sprintf("what there was of item %s went to the new holder of the job", r.Fields["item"])
	case "item_not_handed_over":
		return fmt.Sprintf("item %s could not be handed over: it runs again from what the new holder has", r.Fields["item"])
	default:
		return ""
	}
}

func broker(r *Record) string {
	if r.Fields["broker"] == "" {
		return "the instance itself, since no broker answered"
	}
	return "broker " + r.Fields["broker"]
}

var failedReasons = map[string]string{
	"expired":       "its job's time was over",
	"route_removed": "the operators removed its route",
	"failed":        "it failed at a target as often as its route allows",
	"impossible":    "a target said that it can never be done",
}

func itemSentence(r *Record) string {
	text := fmt.Sprintf("item %s ran at %s from event %s to %s in %s: %s", r.Fields["item"], r.Fields["target"],
		r.Fields["from"], r.Fields["position"], seconds(r.Number("took_ms")), itemEndings[r.Fields["how"]])
	if err := errorOf(r); err != "" {
		text += " (" + err + ")"
	}
	if due := r.Number("due_in_ms"); due < 0 {
		text += fmt.Sprintf("; that was %s after it was due", seconds(-due))
	}
	return text
}

var itemEndings = map[string]string{
	"whole":      "whole",
	"refused":    "the target had no place for it, or was not reached",
	"failed":     "the target failed it",
	"impossible": "the target said that it can never be done",
	"broken":     "the target broke off or fell silent",
	"left":       "it gave its place away or was ended here",
}

func attemptSentence(r *Record) string {
	why := errorOf(r)
	if status := r.Fields["status"]; status != "" && status != "null" {
		why = "status " + status
	}
	switch r.Fields["how"] {
	case "not_run":
		return fmt.Sprintf("target %s did not run it (%s)", r.Fields["target"], why)
	case "unreachable":
		return fmt.Sprintf("target %s could not be reached (%s); it did not run there", r.Fields["target"], why)
	default:
		return fmt.Sprintf("target %s may have run it and brought no whole answer (%s)", r.Fields["target"], why)
	}
}

// errorOf gives the error of a line in short: errors name each layer that they
// came through.
func errorOf(r *Record) string {
	err := r.Fields["err"]
	if err == "null" {
		return ""
	}
	if at := strings.LastIndex(err, ": "); at >= 0 {
		return err[at+2:]
	}
	return err
}

// requestSentence tells how a request ended.
func requestSentence(r *Record) string {
	took := seconds(r.Number("took_ms"))
	why := requestReason(r)
	switch r.Fields["outcome"] {
	case "answered":
		text := "answered whole in " + took
		if first := r.Number("first_byte_ms"); first > 0 {
			text += fmt.Sprintf(", first byte after %s", seconds(first))
		}
		return text
	case "refused":
		text := fmt.Sprintf("refused with %s after %s as not run: %s", r.Fields["status"], took, why)
		if retry := r.Number("retry_ms"); retry > 0 {
			text += fmt.Sprintf("; told to come back in %s", seconds(retry))
		}
		return text
	case "cut_off":
		if r.Fields["reason"] == "caller_left" {
			return fmt.Sprintf("the caller closed its connection after %s events and %s", r.Fields["events"], took)
		}
		return fmt.Sprintf("its answer was cut off after %s events and %s: %s", r.Fields["events"], took, why)
	case "caller_left":
		return fmt.Sprintf("the caller closed its connection after %s; %s events had been passed on", took, number(r.Fields["events"]))
	default:
		return fmt.Sprintf("failed with %s after %s: %s", r.Fields["status"], took, why)
	}
}

func number(text string) string {
	if text == "" {
		return "no"
	}
	return text
}

// requestReason says why a request was not served.
func requestReason(r *Record) string {
	switch r.Fields["reason"] {
	case "over_rate":
		return fmt.Sprintf("organisation %s was over its rate over all instances (%s tokens left, this instance counted on %s of them)",
			r.Fields["organisation"], r.Fields["level"], r.Fields["share"])
	case "all_full":
		return fmt.Sprintf("no target had a place for it in the %s that it could wait", seconds(r.Number("took_ms")))
	case "not_taken":
		return fmt.Sprintf("none of the %s targets that were tried took it", r.Fields["attempts"])
	case "no_target":
		return "no target of its service is listed"
	case "no_service":
		return "its route names no service"
	case "no_config":
		return "the instance had no configuration yet"
	case "no_route":
		return fmt.Sprintf("configuration %s has no route for it", r.Fields["config"])
	case "unknown_key":
		return fmt.Sprintf("configuration %s does not have its key", r.Fields["config"])
	case "answer_lost":
		return fmt.Sprintf("target %s lost the answer, and it may not run again", r.Fields["target"])
	case "cut_off":
		return fmt.Sprintf("target %s stopped in the middle, and it can't go on elsewhere", r.Fields["target"])
	case "timed_out":
		return fmt.Sprintf("its time was over; target %s had it last", r.Fields["target"])
	default:
		return strings.ReplaceAll(r.Fields["reason"], "_", " ")
	}
}

// unended explains a request that was sent and has no end in the logs.
func unended(last *Record, logs *Logs) string {
	for _, start := range logs.starts() {
		if start.Source == last.Source && start.At.After(last.At) {
			return fmt.Sprintf("%s %s: the process started anew: the one that had the request died with it, after its last line",
				clock(start.At), start.Source)
		}
	}
	_, to := logs.span(last.Source)
	if to.Sub(last.At) < around {
		return fmt.Sprintf("%s: no further line of any kind: the process died with the request, or was paused, or its logs end here", last.Source)
	}
	return last.Source + ": no line tells of its end: it still ran when the logs were taken, or the line was left out"
}

// unknown explains an id that no line names.
func unknown(logs *Logs) []string {
	out := []string{"no line names it: it reached none of these instances, or only one that died or was paused before it had a target"}
	for _, source := range logs.sources() {
		from, to := logs.span(source)
		out = append(out, fmt.Sprintf("%s wrote from %s to %s", source, clock(from), clock(to)))
	}
	for _, start := range logs.starts() {
		out = append(out, fmt.Sprintf("%s %s: its process started anew", clock(start.At), start.Source))
	}
	return out
}

// background tells of what the instances came to believe meanwhile that explains
// trouble. What an instance says again and again is told once, with its last time.
func background(story *Story) []string {
	type said struct{ source, sentence string }
	places := map[said]int{}
	var out []string
	for i := range story.Beside {
		r := &story.Beside[i]
		sentence := besideSentence(story, r)
		if sentence == "" {
			continue
		}
		key := said{r.Source, sentence}
		if place, again := places[key]; again {
			first, _, _ := strings.Cut(out[place], " (again until ")
			out[place] = fmt.Sprintf("%s (again until %s)", first, clock(r.At))
			continue
		}
		places[key] = len(out)
		out = append(out, fmt.Sprintf("meanwhile %s %s: %s", clock(r.At), r.Source, sentence))
	}
	return out
}

func besideSentence(story *Story, r *Record) string {
	switch r.Event {
	case "config_in_force":
		return fmt.Sprintf("configuration %s took effect, from %s", r.Fields["version"], r.Fields["from"])
	case "store_watch_failed":
		return fmt.Sprintf("the store did not answer (%s)", errorOf(r))
	case "store_back":
		return fmt.Sprintf("the store answered again after %s", seconds(r.Number("away_ms")))
	case "domain_silent":
		if r.Fields["silent"] == "true" {
			return fmt.Sprintf("nobody of failure domain %s was heard any more", r.Fields["domain"])
		}
		return fmt.Sprintf("failure domain %s was heard again", r.Fields["domain"])
	case "broker_unanswered":
		return fmt.Sprintf("broker %s of failure domain %s did not answer", r.Fields["broker"], r.Fields["domain"])
	case "target_unlisted":
		if !story.mentions(r.Fields["target"]) {
			return ""
		}
		return fmt.Sprintf("target %s left the list", r.Fields["target"])
	case "leaving":
		return "the instance began to stop"
	case "lines_left_out", "log_dropped":
		return fmt.Sprintf("%s lines were left out", r.Fields["lines"])
	default:
		return ""
	}
}

// mentions says whether a line of the story names a target.
func (s *Story) mentions(target string) bool {
	for i := range s.Lines {
		if s.Lines[i].Fields["target"] == target {
			return true
		}
	}
	return false
}
