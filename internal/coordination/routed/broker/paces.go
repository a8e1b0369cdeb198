package broker

import (
	"context"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
)

var (
	// paceReports counts the reports to brokers that stated another pace of a target.
	paceReports      = metrics.NewCounter(`broker_pace_reports_total`)
	malformedReports = metrics.NewCounter(`target_malformed_loads_total`)
)

// SetPaceMaxAge sets the age up to which paces are used, see placement.Options.
func (b *Broker) SetPaceMaxAge(maxAge time.Duration) {
	b.update(func(time.Time) { b.allocator.core.SetPaceMaxAge(maxAge) })
}

// Pace returns the pace of a target as the broker estimates it now.
func (b *Broker) Pace(id string) pace.Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allocator.core.Pace(time.Now(), id)
}

// statePace states the paces on which a choice was based.
func (g *Grant) statePace(choice placement.Choice) {
	if choice.Pace.Percent <= 0 {
		return
	}
	g.Pace, g.PaceAge, g.PaceSource = roundPace(choice.Pace.Percent), choice.Pace.Age, choice.Pace.Source
	if choice.MovedFrom != "" {
		g.MovedFrom, g.MovedFromPace = choice.MovedFrom, roundPace(choice.MovedFromPace.Percent)
	}
}

// roundPace returns a pace in whole percent. It is not 0, which means that there is none.
func roundPace(percent float64) int { return max(1, int(math.Round(percent))) }

// applyPace sets the paces of a choice to those that the broker stated.
func (g *Grant) applyPace(choice *placement.Choice) {
	choice.Pace = pace.Estimate{Percent: float64(g.Pace), Age: g.PaceAge, Source: g.PaceSource}
	choice.MovedFrom, choice.MovedFromPace = g.MovedFrom, pace.Estimate{Percent: float64(g.MovedFromPace)}
}

// Observe records a time that this instance observed at a target, and tells the broker of the
// choice if the target's pace has changed much.
func (c *Client) Observe(choice placement.Choice, kind pace.Kind, took time.Duration) {
	if percent := c.opts.Local.Observe(choice.ID, kind, took); percent > 0 {
		c.reportPace(choice, pace.Observation{Target: choice.ID, Percent: roundPace(percent), Observed: true})
	}
}

// reportPace tells the broker that granted a slot about a pace that differs much from what the
// broker stated or was told.
func (c *Client) reportPace(choice placement.Choice, observation pace.Observation) {
	if choice.Broker == "" || observation.Percent <= 0 || !c.opts.Local.UsesPaces() {
		return
	}
	now := time.Now()
	c.mu.Lock()
	known, due := c.paceReports.Due(now, choice.ID, float64(observation.Percent))
	omitted, logged := 0, false
	if due {
		omitted, logged = c.paceLog.Allow(now, choice.ID)
	}
	c.mu.Unlock()
	if !due {
		return
	}
	if logged {
		_ = level.Info(c.opts.Logger).Log("event", "target_pace_differs", "target", choice.ID, "pace", observation.Percent, "stated", roundPace(known),
			"stated_age_ms", choice.Pace.Age.Milliseconds(), "stated_source", choice.Pace.Source, "broker", choice.Broker, "omitted", omitted)
	}
	if choice.Broker == c.opts.Self.Address {
		c.opts.Broker.MergePace(observation)
		return
	}
	go c.sendPace(choice.Broker, observation)
}

// sendPace sends a target's pace to a broker. A lost report is not repeated: the next full report
// contains it.
func (c *Client) sendPace(address string, observation pace.Observation) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodPaced, &observation, &struct{}{}); err != nil {
		failedCalls.Inc()
		return
	}
	paceReports.Inc()
}

// MergePace adds what an instance observed at a target.
func (b *Broker) MergePace(o pace.Observation) {
	b.update(func(now time.Time) { b.allocator.MergePace(now, o) })
}

// Paced adds what the caller observed at a target.
func (r *Receiver) Paced(o *pace.Observation, _ *struct{}) error {
	r.broker.MergePace(*o)
	return nil
}

// MalformedLoad counts and logs a load report of a target that could not be read, or not all of
// it.
func (c *Client) MalformedLoad(id, value string) {
	malformedReports.Inc()
	c.mu.Lock()
	omitted, logged := c.malformedLog.Allow(time.Now(), id)
	c.mu.Unlock()
	if logged {
		_ = level.Warn(c.opts.Logger).Log("event", "target_load_malformed", "target", id, "report", value, "omitted", omitted)
	}
}
