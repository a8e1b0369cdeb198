package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"

	"merlintiller/internal/fleetdir"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

// plannedChange is the change from the configuration in force to a folder, in its
// output form.
type plannedChange struct {
	BasedOn protocol.Offset `json:"based_on"`
	// Version is the version that the change produced, 0 if nothing was published.
	Version protocol.Offset        `json:"version,omitempty"`
	Set     []protocol.FleetObject `json:"set,omitempty"`
	Remove  []protocol.FleetRef    `json:"remove,omitempty"`
	Notes   []string               `json:"notes,omitempty"`
}

func newPlannedChange(plan fleetdir.Plan) plannedChange {
	return plannedChange{BasedOn: plan.Change.BasedOn, Set: plan.Change.Set, Remove: plan.Change.Remove, Notes: plan.Notes}
}

func (p plannedChange) table() table {
	t := table{}
	if len(p.Set)+len(p.Remove)+len(p.Notes) > 0 {
		t.heading = []string{"CHANGE", "KIND", "NAME", "VALUE"}
	}
	for _, object := range p.Set {
		kind, name, value := describeObject(object)
		t.add("set", kind, name, value)
	}
	for _, ref := range p.Remove {
		kind, name := describeRef(ref)
		t.add("remove", kind, name, "")
	}
	for _, note := range p.Notes {
		t.add("note", "", "", note)
	}
	return t
}

func describeObject(object protocol.FleetObject) (kind, name, value string) {
	switch {
	case object.Organisation != nil:
		o := object.Organisation
		return "organisation", string(o.ID), organisationText(*o)
	case object.Key != nil:
		k := object.Key
		return "key", string(k.ID), fmt.Sprintf("organisation %s, withdrawn %t", k.Organisation, k.Withdrawn)
	case object.Model != nil:
		m := object.Model
		return "model", string(m.Name), fmt.Sprintf("service %s, version %q, adapter %q", m.Service, m.Version, m.Adapter)
	case object.Service != nil:
		s := object.Service
		return "service", string(s.Name), serviceText(*s)
	case object.Domain != nil:
		d := object.Domain
		return "domain", string(d.Domain), fmt.Sprintf("region %s, share %g", d.Region, d.Share)
	default:
		return "unknown", "", ""
	}
}

func organisationText(o protocol.Organisation) string {
	return fmt.Sprintf("rate %g/s, burst %g, weight %g", o.Rate, o.Burst, max(o.Weight, 1))
}

func serviceText(s protocol.Service) string {
	return fmt.Sprintf("%s, %d slots, repeatable %t, checks fencing %t", s.Kind, s.Slots, s.Repeatable, s.ChecksFencing)
}

func describeRef(ref protocol.FleetRef) (kind, name string) {
	switch {
	case ref.Organisation != "":
		return "organisation", string(ref.Organisation)
	case ref.Model != "":
		return "model", string(ref.Model)
	case ref.Service != "":
		return "service", string(ref.Service)
	default:
		return "domain", string(ref.Domain)
	}
}

// folderForm is the configuration in the format of a file in a configuration folder.
type folderForm struct {
	Domains       []protocol.DomainShare  `yaml:"domains,omitempty"`
	Services      []protocol.Service      `yaml:"services,omitempty"`
	Models        []protocol.Model        `yaml:"models,omitempty"`
	Organisations []protocol.Organisation `yaml:"organisations,omitempty"`
	Keys          []protocol.Key          `yaml:"keys,omitempty"`
}

func folderFormOf(fleet *protocol.Fleet) folderForm {
	return folderForm{
		Domains:       sortedValues(fleet.Domains),
		Services:      sortedValues(fleet.Services),
		Models:        sortedValues(fleet.Models),
		Organisations: sortedValues(fleet.Organisations),
		Keys:          sortedValues(fleet.Keys),
	}
}

// fleetView returns the configuration with durations as text ("2s"), which
// encoding/json would print in nanoseconds.
func fleetView(answer operatorapi.FleetAnswer) (map[string]any, error) {
	encoded, err := yaml.Marshal(folderFormOf(answer.Fleet))
	if err != nil {
		return nil, err
	}
	view := map[string]any{}
	if err := yaml.Unmarshal(encoded, &view); err != nil {
		return nil, err
	}
	view["version"] = json.Number(fmt.Sprint(int64(answer.Fleet.Version)))
	view["instance"] = answer.Instance
	view["log_up"] = answer.LogUp
	return view, nil
}

func fleetTable(fleet *protocol.Fleet) table {
	t := table{heading: []string{"KIND", "NAME", "VALUE"}}
	var objects []protocol.FleetObject
	for _, d := range sortedValues(fleet.Domains) {
		objects = append(objects, protocol.FleetObject{Domain: &d})
	}
	for _, s := range sortedValues(fleet.Services) {
		objects = append(objects, protocol.FleetObject{Service: &s})
	}
	for _, m := range sortedValues(fleet.Models) {
		objects = append(objects, protocol.FleetObject{Model: &m})
	}
	for _, o := range sortedValues(fleet.Organisations) {
		objects = append(objects, protocol.FleetObject{Organisation: &o})
	}
	for _, k := range sortedValues(fleet.Keys) {
		objects = append(objects, protocol.FleetObject{Key: &k})
	}
	for _, object := range objects {
		kind, name, value := describeObject(object)
		t.add(kind, name, value)
	}
	return t
}

// sortedValues returns the objects of a map in the order of their ids.
func sortedValues[K cmp.Ordered, T any](objects map[K]T) []T {
	out := make([]T, 0, len(objects))
	for _, id := range slices.Sorted(maps.Keys(objects)) {
		out = append(out, objects[id])
	}
	return out
}
