// Package burn measures how fast each organisation uses up the failures that
// its objectives allow, over several windows at once.
//
// A burn rate of 1 uses up the allowance of a period exactly within it. A rate
// is alarming only if a short and a long window agree: the long one shows that
// it matters, the short one that it still goes on. The windows and thresholds
// are those of "The Site Reliability Workbook", chapter 5, for an allowance
// over 30 days.
//
// Each instance records its own calls in a Recorder. A Collector merges what
// the reachable instances recorded and names those that it could not reach.
package burn

import "time"

// Signal is one thing that an objective is about.
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

// String gives the name that reports show.
func (s Signal) String() string { return signalNames[s] }

// Window is a span up to now over which calls are counted.
type Window int

// The windows, from short to long.
const (
	FiveMinutes Window = iota
	HalfHour
	Hour
	SixHours
	windowCount
)

var windowNames = [windowCount]string{"5m", "30m", "1h", "6h"}

// String gives the name that reports show.
func (w Window) String() string { return windowNames[w] }

// Alarm thresholds. 14.4 for an hour uses 2% of a 30-day allowance, 6 for six
// hours uses 5%.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// longest is the span after which a series without calls is forgotten.
const longest = 6 * time.Hour
