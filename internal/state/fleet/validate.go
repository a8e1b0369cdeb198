package fleet

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"merlintiller/internal/protocol"
)

// Validate returns an error if a change can't be applied to base. The error names
// the object and the field. Validate has no side effects and performs the same
// checks as replay, so that an operator's tool can report errors before it
// publishes a change.
func Validate(base *protocol.Fleet, change *protocol.FleetChange) error {
	if change.ChangeID == "" {
		return fmt.Errorf("change_id: missing")
	}
	_, err := merge(base, change)
	return err
}

func finite(value float64) bool {
	return !math.IsNaN(value) && !math.IsInf(value, 0)
}

func checkOrganisation(o *protocol.Organisation) error {
	switch {
	case o.ID == "":
		return fmt.Errorf("organisation: id: missing")
	case !finite(o.Rate) || o.Rate < 0:
		return fmt.Errorf("organisation %q: rate: %v, want a finite number of requests per second, 0 or more", o.ID, o.Rate)
	case !finite(o.Burst) || o.Burst < 1:
		return fmt.Errorf("organisation %q: burst: %v, want a finite number of requests, 1 or more", o.ID, o.Burst)
	case !finite(o.Weight) || o.Weight < 0:
		return fmt.Errorf("organisation %q: weight: %v, want a finite number, 0 or more", o.ID, o.Weight)
	}
	return checkObjectives(o)
}

func checkObjectives(o *protocol.Organisation) error {
	objectives := &o.Objectives
	switch {
	case objectives.FirstToken < 0:
		return fmt.Errorf("organisation %q: objectives.first_token: %v is negative", o.ID, objectives.FirstToken)
	case objectives.BetweenTokens < 0:
		return fmt.Errorf("organisation %q: objectives.between_tokens: %v is negative", o.ID, objectives.BetweenTokens)
	case !isObjectiveShare(objectives.Target):
		return fmt.Errorf("organisation %q: objectives.target: %v, want 0 or more and less than 1", o.ID, objectives.Target)
	case !isObjectiveShare(objectives.BatchOnTime):
		return fmt.Errorf("organisation %q: objectives.batch_on_time: %v, want 0 or more and less than 1", o.ID, objectives.BatchOnTime)
	}
	return nil
}

// isObjectiveShare reports whether a share is a valid objective: 0 or more and
// less than 1. An objective of 1 leaves no error budget, so its burn rate would be
// infinite.
func isObjectiveShare(value float64) bool {
	return finite(value) && value >= 0 && value < 1
}

func checkKey(k *protocol.Key) error {
	switch {
	case k.ID == "":
		return fmt.Errorf("key: id: missing")
	case k.Organisation == "":
		return fmt.Errorf("key %q: organisation: missing", k.ID)
	case !isSHA256(k.SHA256):
		return fmt.Errorf("key %q: sha256: want 64 lower-case hexadecimal digits", k.ID)
	}
	return nil
}

func isSHA256(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32 && hex.EncodeToString(raw) == text
}

func checkModel(m *protocol.Model) error {
	switch {
	case m.Name == "":
		return fmt.Errorf("model: name: missing")
	case m.Service == "":
		return fmt.Errorf("model %q: service: missing", m.Name)
	}
	return nil
}

func checkService(s *protocol.Service) error {
	switch {
	case s.Name == "":
		return fmt.Errorf("service: name: missing")
	case s.Kind != protocol.KindModel && s.Kind != protocol.KindPlain:
		return fmt.Errorf("service %q: kind: %q is neither %q nor %q", s.Name, s.Kind, protocol.KindModel, protocol.KindPlain)
	case s.Slots < 0:
		return fmt.Errorf("service %q: slots: %d is negative", s.Name, s.Slots)
	case s.LongestOrder < 0:
		return fmt.Errorf("service %q: longest_order: %v is negative", s.Name, s.LongestOrder)
	}
	return nil
}

func checkDomain(d *protocol.DomainShare) error {
	switch {
	case d.Domain == "":
		return fmt.Errorf("domain: domain: missing")
	case !finite(d.Share) || d.Share < 0:
		return fmt.Errorf("domain %q: share: %v, want a finite number, 0 or more", d.Domain, d.Share)
	}
	return nil
}

// checkReferences checks the references between objects. It visits the objects in
// sorted order, so that all instances report the same error.
func checkReferences(f *protocol.Fleet) error {
	for _, name := range sortedKeys(f.Models) {
		model := f.Models[name]
		if _, ok := f.Services[model.Service]; !ok {
			return fmt.Errorf("model %q: service: unknown service %q", name, model.Service)
		}
	}
	return checkKeys(f)
}

// checkKeys checks that the organisation of each key exists, unless the key is
// withdrawn, and that no two keys have the same secret.
func checkKeys(f *protocol.Fleet) error {
	owner := map[string]protocol.KeyID{}
	for _, id := range sortedKeys(f.Keys) {
		key := f.Keys[id]
		_, known := f.Organisations[key.Organisation]
		if !known && !key.Withdrawn {
			return fmt.Errorf("key %q: organisation: unknown organisation %q", id, key.Organisation)
		}
		if key.SHA256 == "" {
			continue
		}
		if other, used := owner[key.SHA256]; used {
			return fmt.Errorf("key %q: sha256: same secret as key %q", id, other)
		}
		owner[key.SHA256] = id
	}
	return nil
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
