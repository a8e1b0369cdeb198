package servicetime

import "time"

const (
	// minSendFraction is the smallest fraction of a latency objective within which a request must
	// be sent, however long first bytes take: it may be rejected in time until then. Below that,
	// all requests would count as late when they arrive, and be served in the order of arrival.
	minSendFraction = 0.25
)

// SendWithin returns the time after its arrival within which a request must be sent for its first
// bytes to be on time. usual is the time until the first bytes that applies without an estimate.
//
// It uses the 90th percentile. While requests wait, a slot is worth more to one that is almost
// certainly on time than to one that may be: with the median, fewer were on time
// (TestMoreRequestsAreOnTimeWithEstimates).
//
// The usual time is the lower bound: it contains what passes besides the work of the target, from
// the caller to the instance and from the choice of a target until the request is sent. While
// requests wait, most are sent close to the last moment, and would all be late without that.
func SendWithin(objective, usual time.Duration, e Estimate) time.Duration {
	if !e.Known() {
		return objective - usual
	}
	return max(objective-max(usual, e.P90), time.Duration(minSendFraction*float64(objective)))
}

// StallAfter returns the time without an answer after which an exchange counts as stalled: usual,
// or longer if more than a tenth of the answers take longer. A request that is then sent to a
// second target must still be on time with the median.
func StallAfter(objective, usual time.Duration, e Estimate) time.Duration {
	if !e.Known() {
		return usual
	}
	return max(usual, min(e.P90All, objective-e.Median))
}
