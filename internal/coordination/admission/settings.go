package admission

import "time"

// Settings are the policy constants of admission.
type Settings struct {
	// QueuePerOrganisation bounds what one organisation may have waiting for
	// one service here. Longer queues only hold calls that would be refused
	// for their deadline anyway.
	QueuePerOrganisation int `yaml:"queue_per_organisation"`
	// QueuePerService bounds the waiting calls of all organisations together,
	// and with them the memory.
	QueuePerService int `yaml:"queue_per_service"`
	// Overcommit is the number of calls let through for each slot. Engines
	// batch continuously and slow down gently a little above their slots, and
	// a queue in front of an idle slot is worse.
	Overcommit float64 `yaml:"overcommit"`
	// DefaultSlots is the number of slots of a target whose service states
	// none.
	DefaultSlots int `yaml:"default_slots"`
	// DefaultHold is the expected time of a call until some were observed.
	DefaultHold time.Duration `yaml:"default_hold"`
	// HoldMemory is the weight of the latest call in the expected time.
	HoldMemory float64 `yaml:"hold_memory"`
	// Refresh is how often the capacity is looked at.
	Refresh time.Duration `yaml:"refresh"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		QueuePerOrganisation: 256,
		QueuePerService:      2048,
		Overcommit:           1.0,
		DefaultSlots:         64,
		DefaultHold:          2 * time.Second,
		HoldMemory:           0.05,
		Refresh:              100 * time.Millisecond,
	}
}
