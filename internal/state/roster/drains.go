package roster

import (
	"maps"
	"slices"
)

// Drains are the failure domains that operators have drained: nothing new goes to the
// targets there until operators take that back.
type Drains struct {
	// Known says that what operators wrote was read at least once.
	Known bool
	// Mark is the offset up to which it was read. A larger one is newer, whoever read it.
	Mark int64
	// Domains are in order.
	Domains []string
}

// Has says that a failure domain is drained.
func (d *Drains) Has(domain string) bool { return slices.Contains(d.Domains, domain) }

// Apply takes over one record. One that was read before changes nothing: a store that is
// behind may give it again after a newer one.
func (d *Drains) Apply(offset int64, domain string, drained bool) {
	if offset < d.Mark {
		return
	}
	d.Mark = offset + 1
	set := map[string]bool{}
	for _, name := range d.Domains {
		set[name] = true
	}
	if drained {
		set[domain] = true
	} else {
		delete(set, domain)
	}
	d.Domains = slices.Sorted(maps.Keys(set))
}

// AdvanceTo notes that all records before an offset were read.
func (d *Drains) AdvanceTo(mark int64) { d.Mark = max(d.Mark, mark) }

// Adopt takes over a newer state as a whole, and says whether it was newer.
func (d *Drains) Adopt(newer Drains) bool {
	if !newer.Known || d.Known && newer.Mark <= d.Mark {
		return false
	}
	*d = Drains{Known: true, Mark: newer.Mark, Domains: slices.Clone(newer.Domains)}
	slices.Sort(d.Domains)
	return true
}
