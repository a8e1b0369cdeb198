package fleet

import (
	"fmt"
	"maps"

	"merlintiller/internal/protocol"
)

// WithdrawKey returns a copy of a fleet in which a key is withdrawn. If the key is
// unknown, a tombstone reserves its id.
func WithdrawKey(base *protocol.Fleet, id protocol.KeyID) *protocol.Fleet {
	next := *base
	next.Keys = maps.Clone(base.Keys)
	key := next.Keys[id]
	key.ID = id
	key.Withdrawn = true
	next.Keys[id] = key
	return &next
}

// merge returns the result of applying a change to base, or an error that says
// why the change is invalid. It does not modify base.
func merge(base *protocol.Fleet, change *protocol.FleetChange) (*protocol.Fleet, error) {
	next := &protocol.Fleet{
		Version:       base.Version,
		Organisations: maps.Clone(base.Organisations),
		Keys:          maps.Clone(base.Keys),
		Models:        maps.Clone(base.Models),
		Services:      maps.Clone(base.Services),
		Domains:       maps.Clone(base.Domains),
	}
	for i := range change.Remove {
		if err := removeObject(next, &change.Remove[i]); err != nil {
			return nil, fmt.Errorf("remove[%d]: %w", i, err)
		}
	}
	for i := range change.Set {
		if err := setObject(next, &change.Set[i]); err != nil {
			return nil, fmt.Errorf("set[%d]: %w", i, err)
		}
	}
	if err := checkReferences(next); err != nil {
		return nil, err
	}
	return next, nil
}

func removeObject(f *protocol.Fleet, ref *protocol.FleetRef) error {
	count := 0
	if ref.Organisation != "" {
		delete(f.Organisations, ref.Organisation)
		count++
	}
	if ref.Model != "" {
		delete(f.Models, ref.Model)
		count++
	}
	if ref.Service != "" {
		delete(f.Services, ref.Service)
		count++
	}
	if ref.Domain != "" {
		delete(f.Domains, ref.Domain)
		count++
	}
	if count != 1 {
		return fmt.Errorf("names %d objects, want exactly one", count)
	}
	return nil
}

func setObject(f *protocol.Fleet, object *protocol.FleetObject) error {
	count := 0
	var err error
	if object.Organisation != nil {
		f.Organisations[object.Organisation.ID] = *object.Organisation
		err = checkOrganisation(object.Organisation)
		count++
	}
	if object.Key != nil {
		err = setKey(f, *object.Key)
		count++
	}
	if object.Model != nil {
		f.Models[object.Model.Name] = *object.Model
		err = checkModel(object.Model)
		count++
	}
	if object.Service != nil {
		f.Services[object.Service.Name] = *object.Service
		err = checkService(object.Service)
		count++
	}
	if object.Domain != nil {
		f.Domains[object.Domain.Domain] = *object.Domain
		err = checkDomain(object.Domain)
		count++
	}
	if count != 1 {
		return fmt.Errorf("holds %d objects, want exactly one", count)
	}
	return err
}

// setKey adds a key. A withdrawn key stays withdrawn, whatever the change says.
// The operator who published the change may not have seen the withdrawal, and
// undoing it would admit a caller whose access was withdrawn.
func setKey(f *protocol.Fleet, key protocol.Key) error {
	if err := checkKey(&key); err != nil {
		return err
	}
	old, known := f.Keys[key.ID]
	if known && old.SHA256 != "" && old.SHA256 != key.SHA256 {
		return fmt.Errorf("key %q: sha256: the id was used for another secret; generate a new id", key.ID)
	}
	if known && old.Organisation != "" && old.Organisation != key.Organisation {
		return fmt.Errorf("key %q: organisation: the id belongs to %q; generate a new id", key.ID, old.Organisation)
	}
	key.Withdrawn = key.Withdrawn || old.Withdrawn
	f.Keys[key.ID] = key
	return nil
}

// describe lists the objects of a change for the history.
func describe(change *protocol.FleetChange) []string {
	names := []string{}
	for i := range change.Set {
		names = append(names, describeObject(&change.Set[i]))
	}
	for i := range change.Remove {
		names = append(names, "remove "+describeRef(&change.Remove[i]))
	}
	return names
}

func describeObject(object *protocol.FleetObject) string {
	switch {
	case object.Organisation != nil:
		return "organisation " + string(object.Organisation.ID)
	case object.Key != nil:
		return "key " + string(object.Key.ID)
	case object.Model != nil:
		return "model " + string(object.Model.Name)
	case object.Service != nil:
		return "service " + string(object.Service.Name)
	default:
		return "domain " + string(object.Domain.Domain)
	}
}

func describeRef(ref *protocol.FleetRef) string {
	switch {
	case ref.Organisation != "":
		return "organisation " + string(ref.Organisation)
	case ref.Model != "":
		return "model " + string(ref.Model)
	case ref.Service != "":
		return "service " + string(ref.Service)
	default:
		return "domain " + string(ref.Domain)
	}
}
