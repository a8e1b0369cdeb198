package fleetdir

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"merlintiller/internal/protocol"
)

// Plan is what must be published so that the configuration in force becomes
// the folder's.
type Plan struct {
	// Change has BasedOn, Set and Remove filled in.
	Change protocol.FleetChange
	// Notes tell the operator what the change does not do, or breaks.
	Notes []string
}

// Empty reports whether the folder is in force already.
func (p Plan) Empty() bool { return len(p.Change.Set) == 0 && len(p.Change.Remove) == 0 }

// Diff compares the configuration in force with a folder. Keys are never
// removed: a key that the folder does not hold stays, and a withdrawn key
// stays withdrawn whatever the folder says. An organisation stays while keys
// of it are in use, since replay rejects a change that orphans a key.
func Diff(current *protocol.Fleet, wanted Objects) Plan {
	plan := Plan{Change: protocol.FleetChange{BasedOn: current.Version}}
	for _, d := range changed(current.Domains, wanted.Domains) {
		plan.set(protocol.FleetObject{Domain: &d})
	}
	for _, s := range changed(current.Services, wanted.Services) {
		plan.set(protocol.FleetObject{Service: &s})
	}
	for _, m := range changed(current.Models, wanted.Models) {
		plan.set(protocol.FleetObject{Model: &m})
	}
	for _, o := range changed(current.Organisations, wanted.Organisations) {
		plan.set(protocol.FleetObject{Organisation: &o})
	}
	plan.keys(current, wanted)
	plan.removals(current, wanted)
	return plan
}

func (p *Plan) set(object protocol.FleetObject) { p.Change.Set = append(p.Change.Set, object) }

func (p *Plan) note(format string, args ...any) {
	p.Notes = append(p.Notes, fmt.Sprintf(format, args...))
}

func (p *Plan) keys(current *protocol.Fleet, wanted Objects) {
	for _, key := range changed(current.Keys, wanted.Keys) {
		before, known := current.Keys[key.ID]
		switch {
		case !known:
			p.set(protocol.FleetObject{Key: &key})
		case before.SHA256 != key.SHA256 || before.Organisation != key.Organisation:
			p.note("key %s is left as it is: an id is never used again for another secret or organisation; create a new key", key.ID)
		case before.Withdrawn:
			p.note("key %s stays withdrawn: a withdrawal is never taken back; create a new key", key.ID)
		default:
			p.set(protocol.FleetObject{Key: &key})
		}
	}
}

func (p *Plan) removals(current *protocol.Fleet, wanted Objects) {
	for _, name := range missing(current.Models, wanted.Models) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Model: name})
	}
	for _, name := range missing(current.Services, wanted.Services) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Service: name})
	}
	for _, name := range missing(current.Domains, wanted.Domains) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Domain: name})
	}
	for _, id := range missing(current.Organisations, wanted.Organisations) {
		if n := liveKeys(current, wanted, id); n > 0 {
			p.note("organisation %s is left as it is: %d of its keys are in use; withdraw them, then apply again", id, n)
			continue
		}
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Organisation: id})
	}
}

// liveKeys counts the keys of an organisation that the change leaves in use.
func liveKeys(current *protocol.Fleet, wanted Objects, org protocol.OrganisationID) int {
	count := 0
	for id, key := range current.Keys {
		if key.Organisation == org && !key.Withdrawn && !wanted.Keys[id].Withdrawn {
			count++
		}
	}
	return count
}

// changed gives the wanted objects that are not in force as they are, in the
// order of their ids.
func changed[K cmp.Ordered, T comparable](current, wanted map[K]T) []T {
	var out []T
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		before, ok := current[id]
		if !ok || before != wanted[id] {
			out = append(out, wanted[id])
		}
	}
	return out
}

// missing gives the ids in force that are not wanted.
func missing[K cmp.Ordered, T any](current, wanted map[K]T) []K {
	var out []K
	for _, id := range slices.Sorted(maps.Keys(current)) {
		if _, ok := wanted[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}
