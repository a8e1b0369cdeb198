// Package fleetdir reads the fleet configuration, which operators keep as a folder of
// small YAML files, and computes the change to the configuration in force.
//
// The files are merged in the order of their names. An object in a later file replaces
// the complete object of the same kind and id in an earlier file. For example,
// "10-organisations.yaml" can hold the usual values and "90-tonight.yaml" temporary
// exceptions. A duplicate id in one file is a mistake.
package fleetdir

import "merlintiller/internal/protocol"

// file is the content of one YAML file of the folder.
type file struct {
	Organisations []protocol.Organisation `yaml:"organisations"`
	Keys          []protocol.Key          `yaml:"keys"`
	Models        []protocol.Model        `yaml:"models"`
	Services      []protocol.Service      `yaml:"services"`
	Domains       []protocol.DomainShare  `yaml:"domains"`
}

// Objects is the merged content of a folder.
type Objects struct {
	Organisations map[protocol.OrganisationID]protocol.Organisation
	Keys          map[protocol.KeyID]protocol.Key
	Models        map[protocol.ModelName]protocol.Model
	Services      map[protocol.ServiceName]protocol.Service
	Domains       map[protocol.Domain]protocol.DomainShare
}

// Count returns the number of objects.
func (o Objects) Count() int {
	return len(o.Organisations) + len(o.Keys) + len(o.Models) + len(o.Services) + len(o.Domains)
}
