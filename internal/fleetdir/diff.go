package fleetdir

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"merlintiller/internal/protocol"
)

// Plan is the change that makes the configuration in force equal to the folder.
type Plan struct {
	// Change is the change to publish. BasedOn, Set and Remove are set.
	Change protocol.FleetChange
	// Notes tell the operator which differences the change does not apply, and why.
	Notes []string
}

// Empty reports whether the folder is already in force.
func (p Plan) Empty() bool { return len(p.Change.Set) == 0 && len(p.Change.Remove) == 0 }

// Diff compares the configuration in force with a folder. It never removes keys: a
// key that is not in the folder stays, and a withdrawn key stays withdrawn regardless
// of the folder. An organisation stays while some of its keys are in use, because
// replay rejects a change that leaves a key without its organisation.
func Diff(current *protocol.Fleet, desired Objects) Plan {
	plan := Plan{Change: protocol.FleetChange{BasedOn: current.Version}}
	for _, d := range changed(current.Domains, desired.Domains) {
		plan.set(protocol.FleetObject{Domain: &d})
	}
	for _, s := range changed(current.Services, desired.Services) {
		plan.set(protocol.FleetObject{Service: &s})
	}
	for _, m := range changed(current.Models, desired.Models) {
		plan.set(protocol.FleetObject{Model: &m})
	}
	for _, o := range changed(current.Organisations, desired.Organisations) {
		plan.set(protocol.FleetObject{Organisation: &o})
	}
	plan.planKeys(current, desired)
	plan.planRemovals(current, desired)
	return plan
}

func (p *Plan) set(object protocol.FleetObject) { p.Change.Set = append(p.Change.Set, object) }

func (p *Plan) note(format string, args ...any) {
	p.Notes = append(p.Notes, fmt.Sprintf(format, args...))
}

// planKeys adds new and newly withdrawn keys to the change, and a note for each
// difference that a change cannot apply.
func (p *Plan) planKeys(current *protocol.Fleet, desired Objects) {
	for _, key := range changed(current.Keys, desired.Keys) {
		before, known := current.Keys[key.ID]
		switch {
		case !known:
			p.set(protocol.FleetObject{Key: &key})
		case before.SHA256 != key.SHA256 || before.Organisation != key.Organisation:
			p.note("key %s is left unchanged: an id is never reused for another secret or organisation; create a new key", key.ID)
		case before.Withdrawn:
			p.note("key %s stays withdrawn: a withdrawal cannot be undone; create a new key", key.ID)
		default:
			p.set(protocol.FleetObject{Key: &key})
		}
	}
}

// planRemovals adds the objects that are not in the folder to the removals.
func (p *Plan) planRemovals(current *protocol.Fleet, desired Objects) {
	for _, name := range removed(current.Models, desired.Models) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Model: name})
	}
	for _, name := range removed(current.Services, desired.Services) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Service: name})
	}
	for _, name := range removed(current.Domains, desired.Domains) {
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Domain: name})
	}
	for _, id := range removed(current.Organisations, desired.Organisations) {
		if n := keysInUse(current, desired, id); n > 0 {
			p.note("organisation %s is left unchanged: %d of its keys are in use; withdraw them, then apply again", id, n)
			continue
		}
		p.Change.Remove = append(p.Change.Remove, protocol.FleetRef{Organisation: id})
	}
}

// keysInUse counts the keys of an organisation that the change leaves in use.
func keysInUse(current *protocol.Fleet, desired Objects, org protocol.OrganisationID) int {
	count := 0
	for id, key := range current.Keys {
		if key.Organisation == org && !key.Withdrawn && !desired.Keys[id].Withdrawn {
			count++
		}
	}
	return count
}

// changed returns the desired objects that are new or differ from those in force,
// sorted by id.
func changed[K cmp.Ordered, T comparable](current, desired map[K]T) []T {
	var out []T
	for _, id := range slices.Sorted(maps.Keys(desired)) {
		before, ok := current[id]
		if !ok || before != desired[id] {
			out = append(out, desired[id])
		}
	}
	return out
}

// removed returns the ids in force that are not desired, sorted.
func removed[K cmp.Ordered, T any](current, desired map[K]T) []K {
	var out []K
	for _, id := range slices.Sorted(maps.Keys(current)) {
		if _, ok := desired[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}
