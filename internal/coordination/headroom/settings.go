package headroom

import "time"

// Settings are the policy constants of the batch windows.
type Settings struct {
	// Tick is how often the windows follow the online load, besides at every
	// online call that starts here. It bounds how long batch may be in the way
	// of online traffic that another instance sends and a report shows.
	Tick time.Duration `yaml:"tick"`
	// GrowEvery is how often a window may grow by one step. Growing slowly
	// keeps short dips of the online load from placing batch items that the
	// next second takes back.
	GrowEvery time.Duration `yaml:"grow_every"`
	// GrowPart is the step, as a part of the target's slots; at least one.
	GrowPart float64 `yaml:"grow_part"`
	// CalmAfter is how long a window does not grow after a revocation.
	CalmAfter time.Duration `yaml:"calm_after"`
	// Spare is the part of the slots that growth leaves free, so that the
	// usual jitter of online traffic fits without taking batch items back.
	Spare float64 `yaml:"spare"`
	// ReportMaxAge is the age from which a load report is not believed; the
	// others' load then counts as what the last report said.
	ReportMaxAge time.Duration `yaml:"report_max_age"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Tick:         10 * time.Millisecond,
		GrowEvery:    100 * time.Millisecond,
		GrowPart:     0.125,
		CalmAfter:    500 * time.Millisecond,
		Spare:        0.05,
		ReportMaxAge: 5 * time.Second,
	}
}
