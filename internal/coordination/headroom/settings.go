package headroom

import "time"

// Settings are the policy constants of the batch windows.
type Settings struct {
	// NoticeInterval is the time between two rounds of notices. The feeder of a
	// target does not know of an online call that started on another instance
	// until the next round.
	NoticeInterval time.Duration `yaml:"tick"`
	// EndNoticeInterval is the maximum time until the feeder of a target is
	// notified of the end of an online call. The start of a call is sent in the
	// next round of notices.
	EndNoticeInterval time.Duration `yaml:"notice_calm"`
	// RepeatNoticeInterval is the time after which the counts of online calls
	// are sent again, in case a notice was lost.
	RepeatNoticeInterval time.Duration `yaml:"notice_repeat"`
	// FullNoticeInterval is the time after which the counts for all targets are
	// sent, also for those without online calls of this instance, because the
	// replies contain the targets' batch items.
	FullNoticeInterval time.Duration `yaml:"notice_all"`
	// NoticeMaxAge is the age from which the counts of a notice are ignored.
	// Then only the target's load report shows the calls of that instance.
	NoticeMaxAge time.Duration `yaml:"notice_life"`
	// PollInterval is the time between two updates of the windows from the
	// targets' states and load reports.
	PollInterval time.Duration `yaml:"look"`
	// FeederRefreshInterval is the time after which the feeders are chosen
	// again.
	FeederRefreshInterval time.Duration `yaml:"refresh"`
	// GrowInterval is the minimum time between two growth steps of a window.
	// Slow growth avoids that batch items are placed in a short dip of the
	// online load and revoked within the next second.
	GrowInterval time.Duration `yaml:"grow_every"`
	// GrowStep is the size of a growth step, as a share of the target's slots.
	// A step is at least one slot.
	GrowStep float64 `yaml:"grow_part"`
	// GrowPause is how long a window does not grow after a revocation.
	GrowPause time.Duration `yaml:"calm_after"`
	// SpareShare is the share of a target's slots that growth leaves free, so
	// that the usual jitter of online traffic revokes no batch items.
	SpareShare float64 `yaml:"spare"`
	// PrefillTime is the time that a target usually needs for the prefill of a
	// prompt. When an online call starts at a target, the batch items that were
	// placed there within this time are revoked. The time is shorter if the
	// measured prefill time is.
	PrefillTime time.Duration `yaml:"young"`
	// BatchStartGap is the minimum time between two starts of batch items at a
	// target, so that usually at most one batch prompt is in prefill. It is
	// shorter if the measured prefill time is.
	BatchStartGap time.Duration `yaml:"start_gap"`
	// OnlineStartGap is the minimum time between the start of an online call and
	// that of a batch item at a target. It is shorter if the measured prefill
	// time is.
	OnlineStartGap time.Duration `yaml:"quiet_before"`
	// ReportMaxAge is the age from which a load report is ignored. The load that
	// only reports show then stays at the value of the last accepted report.
	ReportMaxAge time.Duration `yaml:"report_max_age"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		NoticeInterval:        10 * time.Millisecond,
		EndNoticeInterval:     100 * time.Millisecond,
		RepeatNoticeInterval:  2 * time.Second,
		FullNoticeInterval:    10 * time.Second,
		NoticeMaxAge:          5 * time.Second,
		PollInterval:          50 * time.Millisecond,
		FeederRefreshInterval: time.Second,
		GrowInterval:          100 * time.Millisecond,
		GrowStep:              0.125,
		GrowPause:             500 * time.Millisecond,
		SpareShare:            0.05,
		PrefillTime:           80 * time.Millisecond,
		BatchStartGap:         80 * time.Millisecond,
		OnlineStartGap:        50 * time.Millisecond,
		ReportMaxAge:          5 * time.Second,
	}
}
