package broker

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
)

const (
	// forecastLogInterval is the shortest time between two lines about the forecast of a service.
	forecastLogInterval = 10 * time.Second
	// waitsLogInterval is the shortest time between two lines about items of an instance that wait
	// for the forecast.
	waitsLogInterval = time.Second
)

// forecastDecisions counts decisions about batch items, for metrics and log lines.
type forecastDecisions struct {
	logger log.Logger
	// counts are the decisions since the last line about any service.
	counts map[startDecision]int
	// loggedAt and known are the time of the last line and what it said, by service.
	loggedAt map[string]time.Time
	known    map[string]bool
}

// count counts a decision.
func (d *forecastDecisions) count(decision startDecision) {
	if d.counts == nil || decision == startAsBefore {
		return
	}
	d.counts[decision]++
	metrics.GetOrCreateCounter(fmt.Sprintf(`broker_forecast_items_total{decision=%q}`, string(decision))).Inc()
}

// UseForecast makes a forecast of the demand of online requests decide which items start and
// yield. It must be called before the first request.
func (b *Broker) UseForecast(logger log.Logger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allocator.UseForecast()
	b.itemStarts = forecastDecisions{logger: logger, counts: map[startDecision]int{}, loggedAt: map[string]time.Time{}, known: map[string]bool{}}
	metrics.GetOrCreateGauge("broker_forecasts_known", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		n := 0
		for _, f := range b.allocator.troughs.forecasts {
			if f.known() {
				n++
			}
		}
		return float64(n)
	})
}

// logForecasts writes a line about each forecast that is known, or no longer is, at most one in
// forecastLogInterval. The caller must hold b.mu.
func (b *Broker) logForecasts(now time.Time) {
	d := &b.itemStarts
	for service, f := range b.allocator.troughs.forecasts {
		known := f.known()
		if !known && !d.known[service] || now.Sub(d.loggedAt[service]) < forecastLogInterval {
			continue
		}
		d.known[service], d.loggedAt[service] = known, now
		all, free := b.allocator.core.Slots(now, service)
		_ = level.Info(d.logger).Log("event", "batch_forecast", "service", service, "known", known, "period_ms", f.period().Milliseconds(),
			"confidence_percent", int(100*f.confidence()), "demand", int(f.at(f.count-1)), "age_ms", now.Sub(f.last).Milliseconds(),
			"slots", all, "free", free, "fits", d.counts[startFits], "cheap", d.counts[startCheap], "latest_start", d.counts[startLatest],
			"held", d.counts[startHeld])
		clear(d.counts)
	}
}

// itemProgress is what an instance knows of an item that it runs, as of a time.
type itemProgress struct {
	Needs, Laxity, Unstored time.Duration
	at                      time.Time
}

// addTo returns a hold with the progress of its item as of now.
func (p itemProgress) addTo(now time.Time, h Hold) Hold {
	if p.Needs > 0 {
		// An item that takes longer than expected is about to end.
		h.Needs = max(time.Millisecond, p.Needs-now.Sub(p.at))
		h.Laxity, h.Unstored = p.Laxity, p.Unstored
	}
	return h
}

// SetProgress records how long the item of a choice still needs, and how long its output takes to
// produce again that is not stored yet. The next full report to its broker includes it.
func (c *Client) SetProgress(choice placement.Choice, needs, unstored time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.progress[choice.Number]; ok {
		p.Needs, p.Unstored, p.at = max(time.Millisecond, needs), unstored, time.Now()
		c.progress[choice.Number] = p
	}
}

// logItemWaits writes a line about an item that a broker held, at most one in waitsLogInterval.
func (c *Client) logItemWaits(item Item, domain string, held ForecastHold) {
	c.mu.Lock()
	now := time.Now()
	skip := now.Sub(c.waitsLoggedAt) < waitsLogInterval
	if !skip {
		c.waitsLoggedAt = now
	}
	c.mu.Unlock()
	if skip {
		return
	}
	_ = level.Info(c.opts.Logger).Log("event", "item_waits", "item", item.ID, "job", item.Job, "domain", domain, "demand", held.Demand,
		"expected", held.Expected, "room", held.Room, "period_ms", held.Period.Milliseconds(), "confidence_percent", held.Percent,
		"needs_ms", held.Needs.Milliseconds(), "laxity_ms", held.Laxity.Milliseconds())
}
