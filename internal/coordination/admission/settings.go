package admission

import "time"

// Settings are the settings of admission.
type Settings struct {
	// QueuePerOrganisation is the maximum number of calls of one organisation that
	// wait for one service at this instance. A longer queue would only hold calls
	// that are rejected because of their deadline anyway.
	QueuePerOrganisation int `yaml:"queue_per_organisation"`
	// QueuePerService is the maximum number of calls of all organisations that wait
	// for one service at this instance. It bounds the memory of the queue.
	QueuePerService int `yaml:"queue_per_service"`
	// Overcommit is the number of calls that are admitted for each slot. Engines use
	// continuous batching and slow down only gradually when slightly above their
	// slots, and a call that waits in front of an idle slot is worse.
	Overcommit float64 `yaml:"overcommit"`
	// InitialCapacity is the number of calls that are admitted at a time for a service
	// whose capacity is not known yet.
	InitialCapacity int `yaml:"default_slots"`
	// DefaultHoldTime is the expected time for which a call occupies a slot until calls
	// have been observed.
	DefaultHoldTime time.Duration `yaml:"default_hold"`
	// HoldTimeSmoothing is the weight of the latest call in the moving average of the time
	// for which a call occupies a slot.
	HoldTimeSmoothing float64 `yaml:"hold_memory"`
	// RefreshInterval is the interval at which the capacity of the services is updated.
	RefreshInterval time.Duration `yaml:"refresh"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		QueuePerOrganisation: 256,
		QueuePerService:      2048,
		Overcommit:           1.0,
		InitialCapacity:      64,
		DefaultHoldTime:      2 * time.Second,
		HoldTimeSmoothing:    0.05,
		RefreshInterval:      100 * time.Millisecond,
	}
}
