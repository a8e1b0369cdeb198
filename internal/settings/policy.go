package settings

import "time"

// Batch holds the settings of batch jobs.
type Batch struct {
	// LineBytes is the longest line of an input file, in bytes.
	LineBytes int `yaml:"line_bytes"`
	// FileItems is the largest number of items in an input file.
	FileItems int `yaml:"file_items"`
	// ResultBytes is the longest result of an item, in bytes. An item with a
	// longer result fails.
	ResultBytes int `yaml:"result_bytes"`
	// FileRetention is how long after its upload a file can be used for a job.
	FileRetention time.Duration `yaml:"file_kept"`
	// MaxCompletionWindow is the longest completion window of a job.
	MaxCompletionWindow time.Duration `yaml:"longest_window"`
	// ResultsReadable is how long results stay readable after the end of a job.
	ResultsReadable time.Duration `yaml:"results_readable"`
	// HeldChunks is the largest number of chunks that an instance holds at once.
	HeldChunks int `yaml:"held_chunks"`
	// InFlight is the largest number of items that an instance runs at once.
	InFlight int `yaml:"in_flight"`
	// UrgentLaxity is the laxity (spare time before the deadline) below which a job
	// takes precedence over fairness between organisations.
	UrgentLaxity time.Duration `yaml:"urgent_laxity"`
	// Attempts is how often an item is tried before it fails.
	Attempts int `yaml:"attempts"`
	// FirstBackoff is the wait before the second attempt. It doubles after
	// each further attempt.
	FirstBackoff time.Duration `yaml:"first_backoff"`
	// MaxBackoff bounds the wait between attempts.
	MaxBackoff time.Duration `yaml:"longest_backoff"`
	// ResultFlush is the longest time a result waits for a group commit.
	ResultFlush time.Duration `yaml:"result_flush"`
	// ResultBufferBytes bounds the results that an instance buffers while the log is
	// down, in bytes.
	ResultBufferBytes int `yaml:"result_buffer_bytes"`
	// CarryAge is the age at which data still in use is appended to the log again,
	// so that it outlives the platform's retention time.
	CarryAge time.Duration `yaml:"carry_age"`
}

// Calls holds the settings of online calls.
type Calls struct {
	// Deadline is the time limit of a call that does not specify one.
	Deadline time.Duration `yaml:"deadline"`
	// FirstByteTimeout ends an attempt of an idempotent call if no first byte of
	// the response arrives within it.
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
	// StallTimeout ends a stream if no further event arrives within it.
	StallTimeout time.Duration `yaml:"stall_timeout"`
	// Attempts is the largest number of attempts of one idempotent call.
	Attempts int `yaml:"attempts"`
	// RetryShare is the number of retries allowed for each started call.
	RetryShare float64 `yaml:"retry_share"`
	// AnswerBytes is the largest non-streamed response of a target, in bytes.
	AnswerBytes int64 `yaml:"answer_bytes"`
	// AllowHeaders are additional request headers that are forwarded to targets.
	AllowHeaders []string `yaml:"allow_headers"`
	// ReserveTimeout bounds the reservation of a call that is not idempotent.
	ReserveTimeout time.Duration `yaml:"reserve_timeout"`
	// OutcomeRetention is how long the outcome of a call that is not idempotent is
	// kept.
	OutcomeRetention time.Duration `yaml:"remember"`
}

// Routing holds the settings of target selection.
type Routing struct {
	// SpillAt is the load per slot from which a target in another failure
	// domain may be chosen.
	SpillAt float64 `yaml:"spill_at"`
	// SpillGain is the least difference in load per slot by which that target must
	// be less loaded.
	SpillGain float64 `yaml:"spill_gain"`
	// ReportHalfLife is the age at which a load report has half its weight.
	ReportHalfLife time.Duration `yaml:"report_half_life"`
	// AffinityLoad is how far above the mean load per slot a target that has
	// the prompt's prefix cached is still preferred; 0 disables affinity.
	AffinityLoad float64 `yaml:"affinity_load"`
	// FailuresToEject is the number of consecutive failures after which a target is
	// ejected.
	FailuresToEject int `yaml:"failures_to_eject"`
	// EjectFor is the duration of the first ejection. It doubles with each further
	// ejection.
	EjectFor time.Duration `yaml:"eject_for"`
	// MaxEjection bounds the duration of an ejection.
	MaxEjection time.Duration `yaml:"longest_ejection"`
	// LoadsPerSecond bounds the load reports that an instance reads per second.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// EjectShare bounds the fraction of a service's targets that are ejected at the
	// same time.
	EjectShare float64 `yaml:"eject_share"`
	// SlowFactor is the multiple of the service's mean time to the first byte above
	// which a target is ejected as too slow.
	SlowFactor float64 `yaml:"slow_factor"`
}
