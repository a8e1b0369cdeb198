package fleetdir

import (
	"fmt"

	"merlintiller/internal/protocol"
	"merlintiller/internal/strictyaml"
)

// placed is an object with the place in the folder where it stands.
type placed[T any] struct {
	value T
	doc   *strictyaml.Document
	field string
}

func (p placed[T]) report(field, format string, args ...any) {
	p.doc.Report(p.field+"."+field, format, args...)
}

type merger struct {
	docs          []*strictyaml.Document
	organisations map[protocol.OrganisationID]placed[protocol.Organisation]
	keys          map[protocol.KeyID]placed[protocol.Key]
	models        map[protocol.ModelName]placed[protocol.Model]
	services      map[protocol.ServiceName]placed[protocol.Service]
	domains       map[protocol.Domain]placed[protocol.DomainShare]
}

func newMerger() *merger {
	return &merger{
		organisations: map[protocol.OrganisationID]placed[protocol.Organisation]{},
		keys:          map[protocol.KeyID]placed[protocol.Key]{},
		models:        map[protocol.ModelName]placed[protocol.Model]{},
		services:      map[protocol.ServiceName]placed[protocol.Service]{},
		domains:       map[protocol.Domain]placed[protocol.DomainShare]{},
	}
}

// add merges one file over what earlier files gave.
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

func merge[K ~string, T any](into map[K]placed[T], doc *strictyaml.Document, list, idField string, values []T, id func(T) K) {
	seen := map[K]bool{}
	for i, value := range values {
		object := placed[T]{value: value, doc: doc, field: fmt.Sprintf("%s[%d]", list, i)}
		key := id(value)
		switch {
		case key == "":
			object.report(idField, "is missing")
		case seen[key]:
			object.report(idField, "%q stands twice in this file", string(key))
		default:
			seen[key] = true
			into[key] = object
		}
	}
}

func (m *merger) failed() bool {
	for _, doc := range m.docs {
		if len(doc.Problems()) > 0 {
			return true
		}
	}
	return false
}

func (m *merger) objects() Objects {
	return Objects{
		Organisations: bare(m.organisations),
		Keys:          bare(m.keys),
		Models:        bare(m.models),
		Services:      bare(m.services),
		Domains:       bare(m.domains),
	}
}

func bare[K comparable, T any](objects map[K]placed[T]) map[K]T {
	out := make(map[K]T, len(objects))
	for key, object := range objects {
		out[key] = object.value
	}
	return out
}
