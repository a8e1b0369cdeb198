package servicetime

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Options configure an Estimator.
type Options struct {
	// Enabled is the setting adaptive.expected_times.
	Enabled bool
	// ReportsPace reports whether targets of a service report how long work takes at them.
	ReportsPace func(service string) bool
}

// Estimator is a Times that is safe for concurrent use. A nil Estimator records and knows
// nothing.
type Estimator struct {
	opts  Options
	mu    sync.Mutex
	times *Times
}

// New returns an Estimator with the given options.
func New(opts Options) *Estimator {
	e := &Estimator{opts: opts, times: NewTimes()}
	metrics.RegisterMetricsWriter(e.writeMetrics)
	return e
}

// AddFirstBytes records the time from sending a request until its first bytes were sent
// to the caller or taken over for delivery.
func (e *Estimator) AddFirstBytes(work Work, took time.Duration) {
	if e.enabled() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.times.AddFirstBytes(time.Now(), work, took)
	}
}

// AddGivenUp records that a request was sent to another target because no answer had arrived.
func (e *Estimator) AddGivenUp(work Work) {
	if e.enabled() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.times.AddGivenUp(time.Now(), work)
	}
}

// AddAnswer records the time from sending a request until its answer was complete.
func (e *Estimator) AddAnswer(service string, took time.Duration) {
	if e.enabled() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.times.AddAnswer(time.Now(), service, took)
	}
}

// FirstBytes returns the time from sending a request until its first bytes are sent to the caller or
// taken over for delivery, the zero Estimate for a service whose targets don't report their pace.
func (e *Estimator) FirstBytes(work Work) Estimate {
	if !e.enabled() || !e.opts.ReportsPace(work.Service) {
		return Estimate{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.times.FirstBytes(time.Now(), work)
}

// Answer returns the median time of a whole answer of a service. known is not set with too few
// answers. Unlike FirstBytes, it does not depend on whether the targets report their pace.
func (e *Estimator) Answer(service string) (median time.Duration, known bool) {
	if !e.enabled() {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := e.times.Answer(time.Now(), service)
	return answer.Median, answer.Known()
}

func (e *Estimator) enabled() bool { return e != nil && e.opts.Enabled }

// writeMetrics writes the estimates that are in use. The lock is not held while it writes, because
// a scraper that stops reading blocks the writer.
func (e *Estimator) writeMetrics(w io.Writer) {
	if !e.enabled() {
		return
	}
	firstBytes, answers := e.estimates(time.Now())
	for work, estimate := range firstBytes {
		labels := fmt.Sprintf("service=%q,stream=\"%t\"", work.Service, work.Stream)
		metrics.WriteGaugeUint64(w, fmt.Sprintf("expected_times_answers{%s}", labels), uint64(estimate.Count))
		if estimate.Known() {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("expected_first_byte_seconds{%s,quantile=\"0.5\"}", labels), estimate.Median.Seconds())
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("expected_first_byte_seconds{%s,quantile=\"0.9\"}", labels), estimate.P90.Seconds())
		}
	}
	for service, estimate := range answers {
		if estimate.Known() {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("expected_answer_seconds{service=%q}", service), estimate.Median.Seconds())
		}
	}
}

// estimates returns all estimates of first bytes and of whole answers.
func (e *Estimator) estimates(now time.Time) (firstBytes map[Work]Estimate, answers map[string]Estimate) {
	firstBytes, answers = map[Work]Estimate{}, map[string]Estimate{}
	e.mu.Lock()
	defer e.mu.Unlock()
	for work := range e.times.firstBytes {
		firstBytes[work] = e.times.FirstBytes(now, work)
	}
	for service := range e.times.answers {
		answers[service] = e.times.Answer(now, service)
	}
	return firstBytes, answers
}
