package fleet

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"merlintiller/internal/protocol"
)

// Validate says why a change can't be made to base; the error names the object
// and the field. It is pure and the same check that replay makes, so that an
// operator's tool can report what is wrong before anything is published.
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
		return fmt.Errorf("organisation %q: rate: %v is not a number of requests a second, 0 or more", o.ID, o.Rate)
	case !finite(o.Burst) || o.Burst < 1:
		return fmt.Errorf("organisation %q: burst: %v is less than 1 request", o.ID, o.Burst)
	case !finite(o.Weight) || o.Weight < 0:
		return fmt.Errorf("organisation %q: weight: %v is negative", o.ID, o.Weight)
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
	case !isShare(objectives.Target):
		return fmt.Errorf("organisation %q: objectives.target: %v is not between 0 and 1", o.ID, objectives.Target)
	case !isShare(objectives.BatchOnTime):
		return fmt.Errorf("organisation %q: objectives.batch_on_time: %v is not between 0 and 1", o.ID, objectives.BatchOnTime)
	}
	return nil
}

// isShare excludes 1: an objective without any error budget burns without end.
func isShare(value float64) bool {
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
		return fmt.Errorf("domain %q: share: %v is negative", d.Domain, d.Share)
	}
	return nil
}

// checkReferences checks what ties objects together. It walks the objects in
// sorted order, so that every reader names the same fault.
func checkReferences(f *protocol.Fleet) error {
	for _, name := range sortedKeys(f.Models) {
		model := f.Models[name]
		if _, ok := f.Services[model.Service]; !ok {
			return fmt.Errorf("model %q: service: unknown service %q", name, model.Service)
		}
	}
	return checkKeys(f)
}

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
		if other, taken := owner[key.SHA256]; taken {
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
