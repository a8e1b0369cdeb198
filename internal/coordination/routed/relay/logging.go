package relay

import (
	"math"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
)

// logPlacement logs the chosen target before the request is sent. If the process
// crashes while it serves the request, this is the request's only log line.
func (c *call) logPlacement(choice placement.Choice) {
	logger := level.Info(c.opts.Logger)
	if choice.Pace.Percent > 0 {
		logger = log.WithSuffix(logger, "pace", math.Round(choice.Pace.Percent), "pace_age_ms", choice.Pace.Age.Milliseconds(), "pace_source", choice.Pace.Source,
			"moved_from", choice.MovedFrom, "moved_from_pace", math.Round(choice.MovedFromPace.Percent))
	}
	fields := []any{"event", "request_placed", "request", c.Request.ID, "target", choice.ID,
		"domain", choice.Domain, "broker", choice.Broker, "busy", choice.Busy, "slots", choice.Slots,
		"waited_ms", c.outcome.PlacementTime.Milliseconds(), "left_ms", time.Until(c.Deadline).Milliseconds(),
		"attempt", c.outcome.Attempts, "position", c.lastEvent,
		"version", choice.Version, "stream_version", c.origin.Version, "version_source", c.origin.Source,
		"version_age_ms", c.origin.Age.Milliseconds(), "resumes", c.Request.Resumes}
	_ = logger.Log(append(fields, choice.Lists.LogFields()...)...)
}

// logFailedAttempt logs an attempt that did not complete the answer.
func (c *call) logFailedAttempt(choice placement.Choice, how string, end external.TargetEnd, key string, value any) {
	_ = level.Info(c.opts.Logger).Log("event", "attempt_failed", "request", c.Request.ID, "target", choice.ID, "how", how, "ended", end,
		"parts", strings.Join(c.subject.Parts, ","), "key", c.subject.Key, "events", c.attemptEvents,
		"busy", choice.Busy, "slots", choice.Slots, "position", c.lastEvent, "runs", c.outcome.PossibleRuns,
		"started", c.started, "silent_ms", time.Since(c.lastDataAt).Milliseconds(), key, value)
}
