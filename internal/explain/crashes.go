package explain

import (
	"cmp"
	"fmt"
)

// partsOf returns the parts of prompts that a line says are closed or suspended.
func partsOf(r *Record) string { return cmp.Or(r.Fields["closed_parts"], r.Fields["suspended_parts"]) }

// describeClosure says why requests with some parts in their prompts are rejected.
func describeClosure(r *Record) string {
	return fmt.Sprintf("targets crash when they begin to answer requests with the prompt parts %s: %s; the parts may be tried again in %s",
		partsOf(r), describeEvidence(r), seconds(r.Number("retry_ms")))
}

// describeEvidence gives the crashes that closed some parts.
func describeEvidence(r *Record) string {
	return fmt.Sprintf("%s targets (%s) crashed under them, seen by %s, the last one %s ago, and no request with them got an event since",
		r.Fields["crashes"], r.Fields["targets"], r.Fields["seen_by"], seconds(r.Number("last_crash_ms")))
}

// describeCrashCheck gives the result of the check of a target that lost an answer.
func describeCrashCheck(r *Record) string {
	if r.Fields["crashed"] == "true" {
		return fmt.Sprintf("target %s crashed while %s requests with the prompt parts %s waited there for their first event", r.Fields["target"], r.Fields["requests"], r.Fields["parts"])
	}
	return fmt.Sprintf("target %s only lost an answer: its process runs", r.Fields["target"])
}

// describeTargetEnded says that a target ended while a request ran there.
func describeTargetEnded(r *Record) string {
	text := fmt.Sprintf("target %s ended %s before, after %s events of the run (%s)", r.Fields["target"], seconds(r.Number("lost_ms")), r.Fields["events"], r.Fields["state"])
	text = fmt.Sprintf("%s; %s targets ended under the request, as known at %s: %s", text, r.Fields["ends"], r.Source, r.Fields["known"])
	if meaning, ok := verdictMeanings[r.Fields["verdict"]]; ok {
		text += "; " + meaning
	}
	return text
}

// verdictMeanings says what an instance takes the targets for that ended under a request.
var verdictMeanings = map[string]string{
	"explained":    "other causes explain them",
	"chance":       "the request has run for so long that it may have met them by chance",
	"one_point":    "they ended at the same point of its output, so it is closed",
	"too_frequent": "they ended too soon for chance, so it is closed",
	"too_many":     "they are so many that it is closed",
}
