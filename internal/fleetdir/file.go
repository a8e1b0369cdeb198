// Package fleetdir reads the fleet configuration that operators keep as a
// folder of small YAML files, and works out what must change in the
// configuration in force.
//
// The files are merged in the order of their names: an object in a later file
// replaces the object of the same kind and id in an earlier one, whole. So
// "10-organisations.yaml" may hold what is usual and "90-tonight.yaml" what is
// different tonight. The same id twice in one file is a mistake.
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

// Count is the number of objects.
func (o Objects) Count() int {
	return len(o.Organisations) + len(o.Keys) + len(o.Models) + len(o.Services) + len(o.Domains)
}
