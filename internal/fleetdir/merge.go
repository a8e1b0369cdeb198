package fleetdir

import (
	"fmt"

	"merlintiller/internal/protocol"
	"merlintiller/internal/strictyaml"
)

// located is an object with its location in the folder.
type located[T any] struct {
	value T
	doc   *strictyaml.Document
	field string
}

func (p located[T]) report(field, format string, args ...any) {
	p.doc.Report(p.field+"."+field, format, args...)
}

// merger collects the objects of all files, with their locations.
type merger struct {
	docs          []*strictyaml.Document
	organisations map[protocol.OrganisationID]located[protocol.Organisation]
	keys          map[protocol.KeyID]located[protocol.Key]
	models        map[protocol.ModelName]located[protocol.Model]
	services      map[protocol.ServiceName]located[protocol.Service]
	domains       map[protocol.Domain]located[protocol.DomainShare]
}

func newMerger() *merger {
	return &merger{
		organisations: map[protocol.OrganisationID]located[protocol.Organisation]{},
		keys:          map[protocol.KeyID]located[protocol.Key]{},
		models:        map[protocol.ModelName]located[protocol.Model]{},
		services:      map[protocol.ServiceName]located[protocol.Service]{},
		domains:       map[protocol.Domain]located[protocol.DomainShare]{},
	}
}

// add merges the content of one file. Its objects replace those of earlier files.
func (m *merger) add(doc *strictyaml.Document, content file) {
	merge(m.organisations, doc, "organisations", "id", content.Organisations,
		func(o protocol.Organisation) protocol.OrganisationID { return o.ID })
	merge(m.keys, doc, "keys", "id", content.Keys,
		func(k protocol.Key) protocol.KeyID { return k.ID })
	merge(m.models, doc, "models", "name", content.Models,
		func(v protocol.Model) protocol.ModelName { return v.Name })
	merge(m.services, doc, "services", "name", content.Services,
		func(s protocol.Service) protocol.ServiceName { return s.Name })
	merge(m.domains, doc, "domains", "domain", content.Domains,
		func(d protocol.DomainShare) protocol.Domain { return d.Domain })
}

// merge adds the objects of one list of a file to a map.
func merge[K ~string, T any](into map[K]located[T], doc *strictyaml.Document, list, idField string, values []T, id func(T) K) {
	seen := map[K]bool{}
	for i, value := range values {
		object := located[T]{value: value, doc: doc, field: fmt.Sprintf("%s[%d]", list, i)}
		key := id(value)
		switch {
		case key == "":
			object.report(idField, "is missing")
		case seen[key]:
			object.report(idField, "%q is a duplicate in this file", string(key))
		default:
			seen[key] = true
			into[key] = object
		}
	}
}

// hasProblems reports whether a file has mistakes.
func (m *merger) hasProblems() bool {
	for _, doc := range m.docs {
		if len(doc.Problems()) > 0 {
			return true
		}
	}
	return false
}

func (m *merger) objects() Objects {
	return Objects{
		Organisations: valuesOf(m.organisations),
		Keys:          valuesOf(m.keys),
		Models:        valuesOf(m.models),
		Services:      valuesOf(m.services),
		Domains:       valuesOf(m.domains),
	}
}

// valuesOf returns the objects without their locations.
func valuesOf[K comparable, T any](objects map[K]located[T]) map[K]T {
	out := make(map[K]T, len(objects))
	for key, object := range objects {
		out[key] = object.value
	}
	return out
}
