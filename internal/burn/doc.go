// Package burn measures the burn rate of each organisation's error budget over several
// time windows.
//
// With a burn rate of 1, the error budget of a period is used up exactly at its end. An
// alarm requires a high rate in a short and in a long window: the long window shows that
// the failures are significant, the short one that they continue. The windows and
// thresholds are those of "The Site Reliability Workbook", chapter 5, for an error budget
// over 30 days.
//
// Each instance records its own calls in a Recorder. A Collector merges the records of
// the reachable instances and names the unreachable ones.
package burn

import "time"

// Signal is a measured property of calls that an objective applies to.
type Signal int

// The signals.
const (
	FirstToken Signal = iota
	BetweenTokens
	Availability
	BatchOnTime
	signalCount
)

var signalNames = [signalCount]string{"first_token", "between_tokens", "availability", "batch_on_time"}

// String returns the name of the signal in reports.
func (s Signal) String() string { return signalNames[s] }

// Window is a time span that ends now and over which calls are counted.
type Window int

// The windows, from the shortest to the longest.
const (
	FiveMinutes Window = iota
	HalfHour
	Hour
	SixHours
	windowCount
)

var windowNames = [windowCount]string{"5m", "30m", "1h", "6h"}

// String returns the name of the window in reports.
func (w Window) String() string { return windowNames[w] }

// Alarm thresholds. A burn rate of 14.4 for an hour uses 2% of the error budget of 30
// days, and a rate of 6 for six hours uses 5%.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// seriesRetention is the time after which a series without calls is deleted.
const seriesRetention = 6 * time.Hour
