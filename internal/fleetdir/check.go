package fleetdir

import (
	"math"
	"regexp"

	"merlintiller/internal/protocol"
)

// Bounds of the numbers in the folder. They catch typing errors and leave room for
// growth: maxRate is 300 times the peak rate of the whole fleet.
const (
	maxRate  = 1e6
	maxSlots = 100_000
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// check reports the mistakes in the merged objects.
func (m *merger) check() {
	for id, o := range m.organisations {
		checkID(o, "id", string(id))
		checkOrganisation(o)
	}
	for id, k := range m.keys {
		checkKeyID(k, id)
		m.checkKey(k)
	}
	for name, model := range m.models {
		// checkID does not apply: callers choose model names, which may contain slashes
		// and capital letters.
		if _, ok := m.services[model.value.Service]; !ok {
			model.report("service", "%q is not a service of this folder (model %s)", string(model.value.Service), string(name))
		}
	}
	for name, s := range m.services {
		checkID(s, "name", string(name))
		checkService(s)
	}
	for name, d := range m.domains {
		checkID(d, "domain", string(name))
		checkRange(d, "share", d.value.Share, math.SmallestNonzeroFloat64, maxRate)
	}
}

func checkID[T any](object located[T], field, id string) {
	if !idPattern.MatchString(id) {
		object.report(field, "%q must be lower-case letters, digits, dots, hyphens and underscores, at most 63 characters", id)
	}
}

func checkKeyID(k located[protocol.Key], id protocol.KeyID) {
	if id.LooksLikeSecret() {
		// checkID would print the id, which is the secret.
		k.report("id", "looks like a secret; give the id and the hash, never the secret")
		return
	}
	checkID(k, "id", string(id))
}

// checkRange reports a value outside a range. It also rejects NaN, for which every
// comparison is false.
func checkRange[T any](object located[T], field string, value, lowest, highest float64) {
	if value >= lowest && value <= highest {
		return
	}
	if value <= 0 && lowest > 0 {
		object.report(field, "is missing or not above 0")
		return
	}
	object.report(field, "%g must be between %g and %g", value, lowest, highest)
}

func checkOrganisation(o located[protocol.Organisation]) {
	checkRange(o, "rate", o.value.Rate, math.SmallestNonzeroFloat64, maxRate)
	checkRange(o, "burst", o.value.Burst, 1, maxRate)
	checkRange(o, "weight", o.value.Weight, 0, maxRate)
	objectives := o.value.Objectives
	if objectives.FirstToken < 0 {
		o.report("objectives.first_token", "must not be negative")
	}
	if objectives.BetweenTokens < 0 {
		o.report("objectives.between_tokens", "must not be negative")
	}
	checkObjectiveShare(o, "objectives.target", objectives.Target)
	checkObjectiveShare(o, "objectives.batch_on_time", objectives.BatchOnTime)
}

// checkObjectiveShare requires a share of at least 0 and below 1. An objective of 1
// leaves no error budget, so its burn rate is undefined.
func checkObjectiveShare(o located[protocol.Organisation], field string, value float64) {
	if !(value >= 0 && value < 1) {
		o.report(field, "%g must be at least 0 and below 1, such as 0.99", value)
	}
}

// checkKey reports mistakes in a key's hash and organisation.
func (m *merger) checkKey(k located[protocol.Key]) {
	if !hashPattern.MatchString(k.value.SHA256) {
		// The message omits the value, which may be the secret itself.
		k.report("sha256", "must be the 64 hexadecimal digits of a SHA-256 hash")
	}
	if _, ok := m.organisations[k.value.Organisation]; !ok && !k.value.Withdrawn {
		k.report("organisation", "%q is not an organisation of this folder", string(k.value.Organisation))
	}
}

func checkService(s located[protocol.Service]) {
	switch s.value.Kind {
	case protocol.KindModel, protocol.KindPlain:
	case "":
		s.report("kind", "is missing; it must be model or plain")
	default:
		s.report("kind", "%q must be model or plain", string(s.value.Kind))
	}
	if s.value.Slots < 1 || s.value.Slots > maxSlots {
		s.report("slots", "%d must be between 1 and %d: the number of concurrent streams that one target runs well", s.value.Slots, maxSlots)
	}
	if s.value.LongestOrder < 0 {
		s.report("longest_order", "must not be negative")
	}
	if s.value.Kind == protocol.KindModel && s.value.LongestOrder == 0 {
		s.report("longest_order", "is missing; a new owner of the targets waits this long for an order of the previous owner to end")
	}
}
