package broker

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

var (
	waitsByDeadline = metrics.NewCounter(`broker_queue_waits_total{order="deadline"}`)
	waitsByShare    = metrics.NewCounter(`broker_queue_waits_total{order="share"}`)

	rejectionsNoSlot    = metrics.NewCounter(`broker_queue_rejections_total{reason="no_slot"}`)
	rejectionsOverShare = metrics.NewCounter(`broker_queue_rejections_total{reason="over_share"}`)
)

const (
	// reportedOrganisations is the number of organisations that are shown in the metrics and
	// the log, those that waited longest.
	reportedOrganisations = 10
	// queueReportInterval is the shortest time between two log lines.
	queueReportInterval = time.Second
	// waitHalfLife is the time in which the recorded waits of an organisation are halved, and
	// minReportedWait the wait below which it is no longer recorded.
	waitHalfLife    = time.Minute
	minReportedWait = 10 * time.Millisecond
)

// queueReport counts what fair queueing did. A nil report counts nothing. It is not safe for
// concurrent use.
type queueReport struct {
	logger log.Logger
	// waits are the decaying sums of the times that the requests of organisations waited, as of
	// decayedAt.
	waits     map[string]time.Duration
	decayedAt time.Time
	// waited, overShare and noSlot count since the last log line, at loggedAt.
	waited, overShare, noSlot int
	loggedAt                  time.Time
	// last is the last waiter that was rejected or granted after it had waited.
	last *Waiter
}

func newQueueReport(logger log.Logger) *queueReport {
	return &queueReport{logger: logger, waits: map[string]time.Duration{}, decayedAt: time.Now()}
}

// granted counts a request that got a slot, if it had to wait.
func (r *queueReport) granted(now time.Time, w *Waiter) {
	if r == nil || !w.waited {
		return
	}
	r.waited++
	r.last = w
	r.ended(now, w)
	if w.state.Fair {
		waitsByShare.Inc()
	} else {
		waitsByDeadline.Inc()
	}
}

// ended records the wait of a request that got a slot, was rejected or stopped waiting.
func (r *queueReport) ended(now time.Time, w *Waiter) {
	if r == nil || !w.waited || w.waitReported {
		return
	}
	w.waitReported = true
	r.waits[w.organisation] += now.Sub(w.waitsSince)
}

// rejected counts a rejected request.
func (r *queueReport) rejected(now time.Time, w *Waiter) {
	if r == nil {
		return
	}
	r.ended(now, w)
	r.last = w
	if w.state.OverShare {
		r.overShare++
		rejectionsOverShare.Inc()
		return
	}
	r.noSlot++
	rejectionsNoSlot.Inc()
}

// decay halves the recorded waits every waitHalfLife.
func (r *queueReport) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(r.decayedAt).Seconds() / waitHalfLife.Seconds())
	r.decayedAt = now
	for organisation, wait := range r.waits {
		r.waits[organisation] = time.Duration(float64(wait) * factor)
		if r.waits[organisation] < minReportedWait {
			delete(r.waits, organisation)
		}
	}
}

// longest returns the organisations that waited longest recently.
func (r *queueReport) longest() []string {
	names := slices.SortedFunc(maps.Keys(r.waits), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.waits[b], r.waits[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), reportedOrganisations)]
}

// logFields returns the fields of the next log line and resets the counts, nil if there is no line
// to write. waiting is the number of waiters.
func (r *queueReport) logFields(now time.Time, domain string, waiting int) []any {
	r.decay(now)
	if r.overShare+r.noSlot == 0 || now.Sub(r.loggedAt) < queueReportInterval {
		return nil
	}
	var longest []string
	for _, organisation := range r.longest() {
		longest = append(longest, fmt.Sprintf("%s:%d", organisation, r.waits[organisation].Milliseconds()))
	}
	state := r.last.state
	fields := []any{
		"event", "slots_scarce", "domain", domain, "waiting", waiting, "waited", r.waited,
		"rejected_no_slot", r.noSlot, "rejected_over_share", r.overShare, "order", queueOrder(state.Fair),
		"freed_per_s", math.Round(state.FreedPerSecond), "arriving_per_s", math.Round(state.ArrivingPerSecond),
		"expected_ms", state.Expected.Milliseconds(), "inputs_age_ms", r.last.estimateAge(now).Milliseconds(),
		"waits_ms", strings.Join(longest, ","),
	}
	r.waited, r.noSlot, r.overShare, r.loggedAt = 0, 0, 0, now
	return fields
}

// estimateAge returns the age of the last estimate, 0 if there is none.
func (w *Waiter) estimateAge(now time.Time) time.Duration {
	if w.estimatedAt.IsZero() {
		return 0
	}
	return now.Sub(w.estimatedAt)
}

// queueOrder names the order of a queue in logs and metrics.
func queueOrder(fair bool) string {
	if fair {
		return "share"
	}
	return "deadline"
}

// EnableFairQueue divides scarce slots among organisations by weight, and rejects requests that
// cannot get a slot in time. It must be called before the first request.
func (b *Broker) EnableFairQueue(logger log.Logger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allocator.EnableFairQueue()
	b.queueReport = newQueueReport(logger)
	metrics.RegisterMetricsWriter(b.writeWaits)
}

// reportQueue logs what fair queueing did, at most once per queueReportInterval.
func (b *Broker) reportQueue() {
	if b.queueReport == nil {
		return
	}
	b.mu.Lock()
	fields := b.queueReport.logFields(time.Now(), b.domain, b.allocator.Waiting())
	b.mu.Unlock()
	if fields != nil {
		_ = level.Info(b.queueReport.logger).Log(fields...)
	}
}

// writeWaits writes the recent waits of the organisations that waited longest as metrics. The lock
// is not held while it writes, because a scraper that stops reading blocks the writer.
func (b *Broker) writeWaits(w io.Writer) {
	for _, recent := range b.longestWaits() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("broker_queue_organisation_wait_seconds{organisation=%q}", recent.organisation),
			recent.wait.Seconds())
	}
}

// organisationWait is the recent wait of an organisation.
type organisationWait struct {
	organisation string
	wait         time.Duration
}

// longestWaits returns the recent waits of the organisations that waited longest.
func (b *Broker) longestWaits() []organisationWait {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []organisationWait
	for _, organisation := range b.queueReport.longest() {
		out = append(out, organisationWait{organisation, b.queueReport.waits[organisation]})
	}
	return out
}
