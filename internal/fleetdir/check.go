package fleetdir

import (
	"math"
	"regexp"

	"merlintiller/internal/protocol"
)

// Bounds of the numbers in the folder. They stop slips of the keyboard, not
// growth: the largest rate is 300 times the whole fleet's peak.
const (
	largestRate  = 1e6
	largestSlots = 100_000
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

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
		// Callers choose model names, which may hold a slash or capitals.
		if _, ok := m.services[model.value.Service]; !ok {
			model.report("service", "%q is no service of this folder (model %s)", string(model.value.Service), string(name))
		}
	}
	for name, s := range m.services {
		checkID(s, "name", string(name))
		checkService(s)
	}
	for name, d := range m.domains {
		checkID(d, "domain", string(name))
		checkRange(d, "share", d.value.Share, math.SmallestNonzeroFloat64, largestRate)
	}
}

func checkID[T any](object placed[T], field, id string) {
	if !idPattern.MatchString(id) {
		object.report(field, "%q must be lower-case letters, digits, dots, hyphens and underscores, at most 63", id)
	}
}

func checkKeyID(k placed[protocol.Key], id protocol.KeyID) {
	if id.LooksLikeSecret() {
		// It is not shown, as checkID would.
		k.report("id", "begins like a secret; give the id and the hash, never the secret")
		return
	}
	checkID(k, "id", string(id))
}

// checkRange also refuses NaN, which compares as neither below nor above.
func checkRange[T any](object placed[T], field string, value, least, most float64) {
	if value >= least && value <= most {
		return
	}
	if value <= 0 && least > 0 {
		object.report(field, "is missing or not above 0")
		return
	}
	object.report(field, "%g must be between %g and %g", value, least, most)
}

func checkOrganisation(o placed[protocol.Organisation]) {
	checkRange(o, "rate", o.value.Rate, math.SmallestNonzeroFloat64, largestRate)
	checkRange(o, "burst", o.value.Burst, 1, largestRate)
	checkRange(o, "weight", o.value.Weight, 0, largestRate)
	levels := o.value.Objectives
	if levels.FirstToken < 0 {
		o.report("objectives.first_token", "must not be negative")
	}
	if levels.BetweenTokens < 0 {
		o.report("objectives.between_tokens", "must not be negative")
	}
	checkShare(o, "objectives.target", levels.Target)
	checkShare(o, "objectives.batch_on_time", levels.BatchOnTime)
}

// checkShare wants a share below 1: an objective of 1 leaves no budget, and a
// burn rate against it can't be worked out.
func checkShare(o placed[protocol.Organisation], field string, value float64) {
	if !(value >= 0 && value < 1) {
		o.report(field, "%g must be at least 0 and below 1, such as 0.99", value)
	}
}

func (m *merger) checkKey(k placed[protocol.Key]) {
	if !hashPattern.MatchString(k.value.SHA256) {
		// The value is not shown: it may be the secret itself.
		k.report("sha256", "must be the 64 hexadecimal digits of a SHA-256 hash")
	}
	if _, ok := m.organisations[k.value.Organisation]; !ok && !k.value.Withdrawn {
		k.report("organisation", "%q is no organisation of this folder", string(k.value.Organisation))
	}
}

func checkService(s placed[protocol.Service]) {
	switch s.value.Kind {
	case protocol.KindModel, protocol.KindPlain:
	case "":
		s.report("kind", "is missing; it must be model or plain")
	default:
		s.report("kind", "%q must be model or plain", string(s.value.Kind))
	}
	if s.value.Slots < 1 || s.value.Slots > largestSlots {
		s.report("slots", "%d must be between 1 and %d: the streams that one target runs well at once", s.value.Slots, largestSlots)
	}
	if s.value.LongestOrder < 0 {
		s.report("longest_order", "must not be negative")
	}
	if s.value.Kind == protocol.KindModel && s.value.LongestOrder == 0 {
		s.report("longest_order", "is missing; a new holder of the targets waits this long for an old order")
	}
}
