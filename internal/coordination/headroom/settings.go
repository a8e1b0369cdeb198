package headroom

import "time"

// Settings are the policy constants of the batch windows.
type Settings struct {
	// NoticeInterval is how often notices leave. It bounds how long the
	// feeder of a target does not know of an online call that started at
	// another instance.
	NoticeInterval time.Duration `yaml:"tick"`
	// NoticeCalm is how long the end of an online call may wait before the
	// target's feeder is told. A start is told with the next tick.
	NoticeCalm time.Duration `yaml:"notice_calm"`
	// NoticeRepeat is how often counts are told again, in case one got lost.
	NoticeRepeat time.Duration `yaml:"notice_repeat"`
	// NoticeAll is how often counts are told of all targets, also without own
	// calls, to learn of their batch items from the answer.
	NoticeAll time.Duration `yaml:"notice_all"`
	// NoticeLife is the age from which a count is not believed; then only the
	// target's report shows the instance's calls.
	NoticeLife time.Duration `yaml:"notice_life"`
	// PollInterval is how often the targets and their reports are looked at.
	PollInterval time.Duration `yaml:"look"`
	// Refresh is how often the feeders are chosen anew.
	Refresh time.Duration `yaml:"refresh"`
	// GrowEvery is how often a window may grow by one step. Growing slowly
	// keeps short dips of the online load from placing batch items that the
	// next second takes back.
	GrowEvery time.Duration `yaml:"grow_every"`
	// GrowStep is the step, as a part of the target's slots; at least one.
	GrowStep float64 `yaml:"grow_part"`
	// CalmAfter is how long a window does not grow after a revocation.
	CalmAfter time.Duration `yaml:"calm_after"`
	// SpareShare is the part of the slots that growth leaves free, so that the
	// usual jitter of online traffic fits without taking batch items back.
	SpareShare float64 `yaml:"spare"`
	// Young is the age up to which a batch item is taken back when an online
	// call starts: the time in which a target usually reads a prompt.
	Young time.Duration `yaml:"young"`
	// StartGap is the least time between batch starts at one target, so that
	// at most about one batch prompt is read at a time.
	StartGap time.Duration `yaml:"start_gap"`
	// QuietBefore is how long a batch start waits after an online start.
	QuietBefore time.Duration `yaml:"quiet_before"`
	// ReportMaxAge is the age from which a load report is not believed; the
	// others' load then counts as what the last report said.
	ReportMaxAge time.Duration `yaml:"report_max_age"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		NoticeInterval: 10 * time.Millisecond,
		NoticeCalm:     100 * time.Millisecond,
		NoticeRepeat:   2 * time.Second,
		NoticeAll:      10 * time.Second,
		NoticeLife:     5 * time.Second,
		PollInterval:   50 * time.Millisecond,
		Refresh:        time.Second,
		GrowEvery:      100 * time.Millisecond,
		GrowStep:       0.125,
		CalmAfter:      500 * time.Millisecond,
		SpareShare:     0.05,
		Young:          80 * time.Millisecond,
		StartGap:       80 * time.Millisecond,
		QuietBefore:    50 * time.Millisecond,
		ReportMaxAge:   5 * time.Second,
	}
}
