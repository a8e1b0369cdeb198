package explain

import (
	"fmt"
	"strings"
)

// causes gives one sentence for each line that records a decision, then the
// background events.
func causes(explanation *Explanation, logs *Logs) []string {
	if len(explanation.Lines) == 0 {
		return explainUnknownID(logs)
	}
	var out []string
	ended := false
	for i := range explanation.Lines {
		r := &explanation.Lines[i]
		if sentence := describe(r); sentence != "" {
			out = append(out, clock(r.At)+" "+r.Source+": "+sentence)
		}
		ended = ended || r.Event == "request"
	}
	if explanation.Kind == Request && !ended {
		out = append(out, explainMissingEnd(&explanation.Lines[len(explanation.Lines)-1], logs))
	}
	if len(out) == 0 {
		out = append(out, "no line that names this id records a decision; -o json prints the lines")
	}
	out = append(out, background(explanation)...)
	return append(out, storeCalls(explanation.Background)...)
}

// describe gives a sentence for one line, "" if the line records no decision.
func describe(r *Record) string {
	switch r.Event {
	case "request":
		return describeRequest(r) + describeQueue(r) + describeExpectedTimes(r) + describeSlowCaller(r) + describeRate(r)
	case "request_placed":
		return describePlacement(r)
	case "answer_read_stopped":
		return describeReadStopped(r)
	case "attempt_failed":
		return describeAttempt(r)
	case "grant_refused":
		return fmt.Sprintf("broker %s granted a slot at target %s, which had left by the list of %s (%s); the slot was not used", r.Fields["broker"], r.Fields["target"], r.Source, r.Fields["listed"])
	case "request_target_ended":
		return describeTargetEnded(r)
	case "request_ends_learned":
		return fmt.Sprintf("%s learned from %s that %s targets ended under it (target/events/state/age in ms/seen by): %s", r.Source, r.Fields["from"], r.Fields["ends"], r.Fields["known"])
	case "request_ends_acquitted":
		return "a target completed it, so the targets that ended before don't count"
	case "job_submitted":
		return fmt.Sprintf("job with %s items received; outcome reported to the caller: %q", r.Fields["items"], r.Fields["outcome"])
	case "job_ended":
		return fmt.Sprintf("the caller ended the job: %s", r.Fields["outcome"])
	case "job_read_from_store":
		return describeStoreRead(r)
	case "job_call_not_done":
		return fmt.Sprintf("call %q on the job was rejected, to come back, since %s", r.Fields["call"], storeReadReason(r))
	case "item_run":
		return describeItemRun(r)
	case "item_yields":
		return describeItemYields(r)
	case "item_waits":
		return describeItemWaits(r)
	case "item_held":
		return fmt.Sprintf("item %s waits: targets crash when they begin to answer some of its prompt parts %s, or three ended while they ran it (%s)", r.Fields["item"], r.Fields["parts"], r.Fields["key"])
	case "item_restarted":
		return fmt.Sprintf("item %s starts again, its output up to event %s was discarded: %s", r.Fields["item"], r.Fields["position"], describeRestart(r))
	case "item_failed":
		return fmt.Sprintf("item %s failed permanently: %s", r.Fields["item"], itemFailureReasons[r.Fields["reason"]])
	case "item_handed_over":
		return fmt.Sprintf("the partial output of item %s was sent to the new owner of the job", r.Fields["item"])
	case "item_not_handed_over":
		return fmt.Sprintf("item %s could not be handed over: the new owner of the job continues it from the output that the owner already has", r.Fields["item"])
	default:
		return ""
	}
}

func describePlacement(r *Record) string {
	if r.Fields["slots"] == "" {
		return fmt.Sprintf("the stream goes on at target %s after event %s%s", r.Fields["target"], r.Fields["position"], describeVersions(r))
	}
	return fmt.Sprintf("sent to target %s (%s of its %s slots in use) after %s, chosen by %s%s%s",
		r.Fields["target"], r.Fields["busy"], r.Fields["slots"], seconds(r.Number("waited_ms")), placedBy(r), describeVersions(r), describeMove(r))
}

// describeMove says why the paces of targets moved a request to another one, "" if they did not.
func describeMove(r *Record) string {
	if r.Fields["moved_from"] == "" {
		return ""
	}
	return fmt.Sprintf("; without the paces of targets it would have been sent to %s, where work took %s%% of the usual time; here it took %s%%, %s",
		r.Fields["moved_from"], r.Fields["moved_from_pace"], r.Fields["pace"], describePaceSource(r))
}

// describePaceSource says where a pace is known from.
func describePaceSource(r *Record) string {
	switch age := seconds(r.Number("pace_age_ms")); r.Fields["pace_source"] {
	case "reported":
		return fmt.Sprintf("as the target reported %s before", age)
	case "observed":
		return fmt.Sprintf("by the times observed there, the last one %s before", age)
	default:
		return "the mean of its service"
	}
}

// describeVersions gives the software version of the target, and that of the stream if the
// request goes on with one. It gives "" for a line without versions.
func describeVersions(r *Record) string {
	if r.Fields["version"] == "" {
		return ""
	}
	text := fmt.Sprintf("; its software version is %s", r.Fields["version"])
	if r.Fields["stream_version"] != "" {
		text += ", and so is " + describeOrigin(r)
	}
	return text
}

// describeOrigin gives the software version at which a stream began, and where it is known
// from.
func describeOrigin(r *Record) string {
	text := fmt.Sprintf("that of the stream, %s (%s, %s ago)", r.Fields["stream_version"],
		originSources[r.Fields["version_source"]], seconds(r.Number("version_age_ms")))
	if r.Fields["resumes"] != "" {
		text += fmt.Sprintf(", which request %s began", r.Fields["resumes"])
	}
	return text
}

// originSources explains the values of version_source=.
var originSources = map[string]string{
	"answer":       "this answer began there",
	"own":          "it began at this instance",
	"told":         "the instance at which it began sent it here",
	"asked":        "another instance knew it",
	"only_version": "the service has no other one, by the list of targets as read",
}

// describeRestart says why an item could not be continued.
func describeRestart(r *Record) string {
	switch r.Fields["reason"] {
	case "version_gone":
		return fmt.Sprintf("it began at software version %s, and no target of that version is listed", r.Fields["version"])
	case "version_full":
		return fmt.Sprintf("it began at software version %s, whose targets had no free slot for as long as the output takes to produce again", r.Fields["version"])
	case "output_too_large":
		return "a target sent more events than an item may have"
	default:
		return "it is not known at which software version it began"
	}
}

// placedBy names the instance that chose the target.
func placedBy(r *Record) string {
	if r.Fields["broker"] == "" {
		return "the instance itself, since no broker answered"
	}
	return "broker " + r.Fields["broker"]
}

// itemFailureReasons explains the values of reason= in item_failed.
var itemFailureReasons = map[string]string{
	"expired":       "its job expired",
	"route_removed": "the operators removed its route",
	"failed":        "it failed at targets as often as its route allows",
	"impossible":    "a target reported that the item can never succeed",
}

func describeItemRun(r *Record) string {
	text := fmt.Sprintf("item %s ran at %s%s from event %s to %s in %s: %s", r.Fields["item"], r.Fields["target"], ofVersion(r),
		r.Fields["from"], r.Fields["position"], seconds(r.Number("took_ms")), itemRunOutcomes[r.Fields["how"]])
	if err := innermostError(r); err != "" {
		text += " (" + err + ")"
	}
	if due := r.Number("due_in_ms"); due < 0 {
		text += fmt.Sprintf("; that was %s after its deadline", seconds(-due))
	}
	return text
}

// describeItemWaits says why an item got no slot although one was free.
func describeItemWaits(r *Record) string {
	return fmt.Sprintf("item %s waits in %s: online requests need %s slots and are expected to need %s before it ends, in %s; demand repeats after %s, and the item can wait for %s",
		r.Fields["item"], r.Fields["domain"], r.Fields["demand"], r.Fields["expected"], seconds(r.Number("needs_ms")),
		seconds(r.Number("period_ms")), seconds(r.Number("laxity_ms")))
}

// describeItemYields says what a preempted item had done.
func describeItemYields(r *Record) string {
	text := fmt.Sprintf("item %s yielded its slot at %s to an online request", r.Fields["item"], r.Fields["target"])
	if r.Fields["ran_ms"] == "" {
		return text
	}
	return text + fmt.Sprintf(" after %s; it goes on after its %s events, of which %s were not stored yet",
		seconds(r.Number("ran_ms")), r.Fields["events"], r.Fields["unstored"])
}

// ofVersion gives the software version of the target of a line, "" for a line without one.
func ofVersion(r *Record) string {
	if r.Fields["version"] == "" {
		return ""
	}
	return " (software version " + r.Fields["version"] + ")"
}

// itemRunOutcomes explains the values of how= in item_run.
var itemRunOutcomes = map[string]string{
	"whole":      "complete",
	"refused":    "the target had no free slot for it, or could not be reached",
	"failed":     "the target reported a failure",
	"impossible": "the target reported that the item can never succeed",
	"broken":     "the target ended the answer early or stopped sending",
	"left":       "the item yielded its slot, or this instance ended the run",
}

func describeAttempt(r *Record) string {
	why := innermostError(r)
	if status := r.Fields["status"]; status != "" && status != "null" {
		why = "status " + status
	}
	switch r.Fields["how"] {
	case "not_run":
		return fmt.Sprintf("target %s did not run the request (%s)", r.Fields["target"], why)
	case "unreachable":
		return fmt.Sprintf("target %s could not be reached (%s); the request did not run there", r.Fields["target"], why)
	default:
		return fmt.Sprintf("target %s may have run the request but sent no complete answer (%s)%s", r.Fields["target"], why, describeTargetEnd(r))
	}
}

// describeTargetEnd says what a target did that sent no complete answer, "" if a line has no
// account of it.
func describeTargetEnd(r *Record) string {
	end := targetEnds[r.Fields["ended"]]
	if end == "" {
		return ""
	}
	text := fmt.Sprintf("; %s after %s events", end, r.Fields["events"])
	if r.Fields["parts"] != "" {
		text += fmt.Sprintf(", with the prompt parts %s", r.Fields["parts"])
	}
	return text
}

// targetEnds explains the values of ended=.
var targetEnds = map[string]string{
	"answered":  "it answered with a status that ends the attempt",
	"refused":   "nothing listens at its address",
	"reset":     "it reset the connection",
	"closed":    "it closed the connection",
	"silent":    "it sent nothing in time",
	"left":      "this instance closed the connection",
	"malformed": "what it sent is no answer",
}

// innermostError gives the last part of a line's error. Errors are wrapped by each
// layer, so the cause is the last part.
func innermostError(r *Record) string {
	if r.Fields["err"] == "null" {
		return ""
	}
	return lastPart(r.Fields["err"])
}

// lastPart returns the last part of the text of an error.
func lastPart(err string) string {
	if at := strings.LastIndex(err, ": "); at >= 0 {
		return err[at+2:]
	}
	return err
}

// describeRequest says how a request ended.
func describeRequest(r *Record) string {
	took := seconds(r.Number("took_ms"))
	why := describeReason(r)
	switch r.Fields["outcome"] {
	case "answered":
		text := "answered completely in " + took
		if first := r.Number("first_byte_ms"); first > 0 {
			text += fmt.Sprintf(", first byte after %s", seconds(first))
		}
		return text
	case "refused":
		text := fmt.Sprintf("refused with %s after %s without being run: %s", r.Fields["status"], took, why)
		if retry := r.Number("retry_ms"); retry > 0 {
			text += fmt.Sprintf("; the caller was told to retry after %s", seconds(retry))
		}
		return text
	case "cut_off":
		if r.Fields["reason"] == "caller_left" {
			return fmt.Sprintf("the caller closed its connection after %s events and %s", r.Fields["events"], took)
		}
		return fmt.Sprintf("its answer was cut off after %s events and %s: %s", r.Fields["events"], took, why)
	case "caller_left":
		return fmt.Sprintf("the caller closed its connection after %s; %s events had been sent to it", took, countOrNo(r.Fields["events"]))
	default:
		return fmt.Sprintf("failed with %s after %s: %s", r.Fields["status"], took, why)
	}
}

// reportedLag is the number of milliseconds from which on the lag of a caller is reported. An event
// that reaches its caller later than that is late.
const reportedLag = 200

// describeSlowCaller says how far a caller lagged behind its answer, "" if it did not.
func describeSlowCaller(r *Record) string {
	lag := r.Number("caller_lag_ms")
	if lag < reportedLag {
		return ""
	}
	text := fmt.Sprintf("; the caller read slowly: up to %s bytes were held for it, and it took a part up to %s after that had arrived",
		r.Fields["held_bytes"], seconds(lag))
	if stopped := r.Number("read_stopped_ms"); stopped > 0 {
		text += fmt.Sprintf("; the target was not read for %s, since no more bytes could be held", seconds(stopped))
	}
	return text
}

// describeReadStopped says why a part of an answer was not held for a slow caller.
func describeReadStopped(r *Record) string {
	why := "the bound of held bytes is reached"
	if r.Fields["why"] == "over_mean" {
		why = "much of the bound of held bytes is used, and this answer holds more than the mean"
	}
	return fmt.Sprintf("reading from target %s stops until the caller reads, with %s bytes held for it: %s (%s)", r.Fields["target"],
		r.Fields["held_bytes"], why, describeHeldBytes(r))
}

// describeHeldBytes gives the numbers on which a decision on held bytes is based.
func describeHeldBytes(r *Record) string {
	return fmt.Sprintf("%s bytes of %s answers and %s bytes of request bodies, at most %s in all", r.Fields["answers_bytes"],
		r.Fields["answers"], r.Fields["bodies_bytes"], r.Fields["bound_bytes"])
}

// describeExpectedTimes says by when a request had to be sent that waited longer, and why. It gives ""
// for other requests, and if the usual times applied.
func describeExpectedTimes(r *Record) string {
	within := r.Number("send_within_ms")
	if within == 0 || r.Fields["reason"] != "all_full" && r.Number("waited_ms") <= within {
		return ""
	}
	return fmt.Sprintf("; to be on time it had to be sent within %s, and later it came after requests that could be on time: nine in ten of the last %s answers here began within %s (the latest of them %s ago)",
		seconds(within), r.Fields["expected_answers"], seconds(r.Number("expected_first_byte_90_ms")), seconds(r.Number("expected_age_ms")))
}

// describeRate gives what a decision on a rate was based on, "" for a line without one.
func describeRate(r *Record) string {
	from := r.Fields["levels_from"]
	if from == "" {
		return ""
	}
	source, known := levelSources[from]
	if !known {
		source = "adopted from " + from
	}
	return fmt.Sprintf("; rate of organisation %s by configuration %s: %s tokens left of those that share %s may use, levels %s %s ago, %s of %s instances heard %s ago on the mean",
		r.Fields["organisation"], r.Fields["limits"], r.Fields["level"], r.Fields["share"], source, seconds(r.Number("levels_age_ms")),
		r.Fields["reachable"], r.Fields["instances"], seconds(r.Number("reports_age_ms")))
}

// describeQueue gives what a broker knew while the request waited for a slot, "" for a line without
// it.
func describeQueue(r *Record) string {
	var text string
	switch r.Fields["queue"] {
	case "waited":
		text = "it waited for a slot at a broker"
	case "no_slot":
		text = "it was rejected at once, since more requests waited than could be served"
	case "over_share":
		text = fmt.Sprintf("it was rejected at once, since organisation %s had used its share of the scarce slots", r.Fields["organisation"])
	default:
		return ""
	}
	return fmt.Sprintf("; %s (%s requests ahead of it, %s; %s slots became free and %s requests arrived per second)",
		text, r.Fields["queue_ahead"], queueOrders[r.Fields["queue_order"]], r.Fields["queue_freed_per_s"], r.Fields["queue_arriving_per_s"])
}

// queueOrders explains the values of queue_order=.
var queueOrders = map[string]string{
	"deadline": "those that must be sent first go first",
	"share":    "slots divided by the rates of organisations",
}

// levelSources explains the values of levels_from= that name no instance.
var levelSources = map[string]string{
	"unknown": "not known since a start",
	"nobody":  "begun nearly empty, since no instance knew them,",
}

// countOrNo gives a count for a sentence: "no" if the line has none.
func countOrNo(text string) string {
	if text == "" {
		return "no"
	}
	return text
}

// describeReason says why a request was not served.
func describeReason(r *Record) string {
	switch r.Fields["reason"] {
	case "over_rate":
		return fmt.Sprintf("organisation %s exceeded its rate across all instances (%s tokens left; the share of the fleet's burst that this instance may use is %s)",
			r.Fields["organisation"], r.Fields["level"], r.Fields["share"])
	case "over_share":
		return fmt.Sprintf("organisation %s has tokens left (%s), but this instance has used its share of them, which it may exceed only while it hears from the others",
			r.Fields["organisation"], r.Fields["level"])
	case "rates_unknown":
		return fmt.Sprintf("the instance had just started and did not know yet what is left of the rate of organisation %s (%s of %s instances had reported; callers return when the levels will be known)",
			r.Fields["organisation"], r.Fields["reachable"], r.Fields["instances"])
	case "all_full":
		if r.Fields["queue"] != "" && r.Fields["queue"] != "waited" {
			return "no broker expected a slot for it in the time that it could wait"
		}
		return fmt.Sprintf("no target had a free slot within the %s that the request could wait", seconds(r.Number("took_ms")))
	case "not_taken":
		return fmt.Sprintf("none of the %s targets tried accepted it", r.Fields["attempts"])
	case "no_target":
		return "no target of its service is listed"
	case "version_unknown":
		return fmt.Sprintf("it takes up the stream of request %q, and no instance that answered knows at which software version that began", r.Fields["resumes"])
	case "version_gone":
		return fmt.Sprintf("it takes up the stream of request %q, which began at software version %s, and no target of that version is listed", r.Fields["resumes"], r.Fields["stream_version"])
	case "no_memory":
		return "its body did not fit into the memory for bytes held for callers: " + describeHeldBytes(r)
	case "no_service":
		return "its route names no service"
	case "no_config":
		return "the instance had no configuration yet"
	case "no_route":
		return fmt.Sprintf("configuration %s has no route for it", r.Fields["config"])
	case "unknown_key":
		return fmt.Sprintf("configuration %s does not contain its key", r.Fields["config"])
	case "answer_lost":
		return fmt.Sprintf("the answer of target %s was lost, and the request must not run twice", r.Fields["target"])
	case "cut_off":
		text := fmt.Sprintf("target %s stopped in the middle of the answer, and no other target can continue it", r.Fields["target"])
		if r.Fields["stream_version"] != "" {
			text += "; it would have had to be one of software version " + r.Fields["stream_version"]
		}
		return text
	case "part_closed":
		return describeClosure(r)
	case "request_closed":
		return fmt.Sprintf("%s targets (%s) ended while they ran this request (%s), seen by %s, the last one %s ago; it goes to a target again in %s at the earliest",
			r.Fields["crashes"], r.Fields["targets"], r.Fields["closed_parts"], r.Fields["seen_by"], seconds(r.Number("last_crash_ms")), seconds(r.Number("retry_ms")))
	case "interrupted":
		return "the instance exited before the answer was complete"
	case "timed_out":
		return fmt.Sprintf("it timed out; target %s ran it last", r.Fields["target"])
	default:
		return strings.ReplaceAll(r.Fields["reason"], "_", " ")
	}
}

// explainMissingEnd says why the logs may not record the end of a request that
// was sent to a target.
func explainMissingEnd(last *Record, logs *Logs) string {
	for _, start := range logs.restarts() {
		if start.Source == last.Source && start.At.After(last.At) {
			return fmt.Sprintf("%s %s: the process restarted; the previous process died after the last line, with the request in flight",
				clock(start.At), start.Source)
		}
	}
	_, to := logs.span(last.Source)
	if to.Sub(last.At) < backgroundWindow {
		return fmt.Sprintf("%s: no later log line of any kind: the process died with the request in flight, or was paused, or its log ends here", last.Source)
	}
	return last.Source + ": no line records its end: the request was still running when the logs were collected, or the line was dropped"
}

// explainUnknownID says why no line may name an id.
func explainUnknownID(logs *Logs) []string {
	out := []string{"no line names this id: it reached none of these instances, or only one that died or was paused before a target was chosen"}
	for _, source := range logs.sources() {
		from, to := logs.span(source)
		out = append(out, fmt.Sprintf("%s has log lines from %s to %s", source, clock(from), clock(to)))
	}
	for _, start := range logs.restarts() {
		out = append(out, fmt.Sprintf("%s %s: its process restarted", clock(start.At), start.Source))
	}
	return out
}
