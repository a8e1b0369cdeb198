package roster

import (
	"maps"
	"slices"
)

// Drains is the set of failure domains that operators have drained. Targets of a
// drained domain get no new requests until an operator ends the drain.
type Drains struct {
	// Known is set once the operators' records have been read.
	Known bool
	// Mark is the offset in the store up to which the records have been read. Of two
	// states the one with the larger mark is the newer, whichever instance read it.
	Mark int64
	// Domains holds the names of the drained failure domains, sorted.
	Domains []string
}

// Has reports whether a failure domain is drained.
func (d *Drains) Has(domain string) bool { return slices.Contains(d.Domains, domain) }

// Apply applies one record. A record with an offset below the mark is ignored: a store
// node that lags may return it after a newer one.
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

// AdvanceTo records that all records below an offset have been read.
func (d *Drains) AdvanceTo(mark int64) { d.Mark = max(d.Mark, mark) }

// Adopt replaces the state if the other one is newer, and reports whether it did.
func (d *Drains) Adopt(newer Drains) bool {
	if !newer.Known || d.Known && newer.Mark <= d.Mark {
		return false
	}
	*d = Drains{Known: true, Mark: newer.Mark, Domains: slices.Clone(newer.Domains)}
	slices.Sort(d.Domains)
	return true
}
