package settings

import "time"

// Batch holds the constants of batch jobs.
type Batch struct {
	// LineBytes is the longest line of an input file, in bytes.
	LineBytes int `yaml:"line_bytes"`
	// FileItems is the largest number of items of an input file.
	FileItems int `yaml:"file_items"`
	// ResultBytes is the longest result of an item, in bytes. A longer one
	// ends as a failed result.
	ResultBytes int `yaml:"result_bytes"`
	// FileRetention is how long after its upload a file can be used for a job.
	FileRetention time.Duration `yaml:"file_kept"`
	// MaxCompletionWindow is the longest completion window of a job.
	MaxCompletionWindow time.Duration `yaml:"longest_window"`
	// ResultsReadable is how long results stay readable after a job ended.
	ResultsReadable time.Duration `yaml:"results_readable"`
	// HeldChunks is the number of chunks that an instance holds at once.
	HeldChunks int `yaml:"held_chunks"`
	// InFlight is the number of items that an instance runs at once.
	InFlight int `yaml:"in_flight"`
	// UrgentLaxity is the spare time under which a job goes ahead of fairness
	// between organisations.
	UrgentLaxity time.Duration `yaml:"urgent_laxity"`
	// Attempts is how often an item is tried before it ends as failed.
	Attempts int `yaml:"attempts"`
	// FirstBackoff is the wait before the second attempt. It doubles after
	// each further one.
	FirstBackoff time.Duration `yaml:"first_backoff"`
	// MaxBackoff bounds the wait between attempts.
	MaxBackoff time.Duration `yaml:"longest_backoff"`
	// ResultFlush is the longest time a result waits for a group commit.
	ResultFlush time.Duration `yaml:"result_flush"`
	// ResultBufferBytes bounds the results kept while the log is down.
	ResultBufferBytes int `yaml:"result_buffer_bytes"`
	// CarryAge is the age at which live data is appended anew, so that it
	// outlives the platform's retention.
	CarryAge time.Duration `yaml:"carry_age"`
}

// Calls holds the constants of online calls.
type Calls struct {
	// Deadline is the time for a call that names none.
	Deadline time.Duration `yaml:"deadline"`
	// FirstByteTimeout gives up an attempt of a repeatable call that shows no
	// first byte.
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
	// StallTimeout gives up a stream that shows no further event.
	StallTimeout time.Duration `yaml:"stall_timeout"`
	// Attempts is the number of attempts of one repeatable call.
	Attempts int `yaml:"attempts"`
	// RetryShare is the number of retries allowed for each call that began.
	RetryShare float64 `yaml:"retry_share"`
	// AnswerBytes is the largest whole answer of a target, in bytes.
	AnswerBytes int64 `yaml:"answer_bytes"`
	// AllowHeaders are further request headers that may pass to targets.
	AllowHeaders []string `yaml:"allow_headers"`
	// ReserveTimeout is the limit on reserving a call that may not be repeated.
	ReserveTimeout time.Duration `yaml:"reserve_timeout"`
	// OutcomeRetention is how long the outcome of a call that may not be repeated is
	// remembered.
	OutcomeRetention time.Duration `yaml:"remember"`
}

// Routing holds the constants of choosing targets.
type Routing struct {
	// SpillAt is the load per slot from which a target of another failure
	// domain may be taken.
	SpillAt float64 `yaml:"spill_at"`
	// SpillGain is by how much less loaded per slot that target must be.
	SpillGain float64 `yaml:"spill_gain"`
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration `yaml:"report_half_life"`
	// AffinityLoad is how far above the mean load per slot a target that holds
	// the prompt's prefix is still preferred; 0 is no affinity.
	AffinityLoad float64 `yaml:"affinity_load"`
	// FailuresToEject is the run of failures that ejects a target.
	FailuresToEject int `yaml:"failures_to_eject"`
	// EjectFor is the time of a first ejection. It doubles with each further.
	EjectFor time.Duration `yaml:"eject_for"`
	// MaxEjection bounds the time of an ejection.
	MaxEjection time.Duration `yaml:"longest_ejection"`
	// LoadsPerSecond bounds the load reports that an instance reads a second.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// EjectShare bounds the part of a service that is ejected at once.
	EjectShare float64 `yaml:"eject_share"`
	// SlowFactor ejects a target whose mean time to the first byte is so many
	// times the service's.
	SlowFactor float64 `yaml:"slow_factor"`
}
