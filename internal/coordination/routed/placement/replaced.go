package placement

import (
	"merlintiller/internal/state/roster"
)

// Incarnation identifies one process of a target. gob sends its fields under their Go names.
type Incarnation struct {
	ID, Address string
	// Started is when the process started, in Unix milliseconds. 0: unknown.
	Started int64
}

// IncarnationOf returns the incarnation that an entry of the list of targets describes.
func IncarnationOf(t roster.Target) Incarnation {
	return Incarnation{ID: t.ID, Address: t.Address, Started: t.Started}
}

// MarkReplaced records that another target uses the address of an incarnation. The incarnation
// gets no more requests, until the list no longer contains it or it has renewed its entry. It
// returns false if the incarnation is not listed, or is already known to be replaced.
//
// The list still names such a target for some seconds, and for as long as the store is down.
// Each request sent there is rejected, and has to find another target.
func (c *Core) MarkReplaced(i Incarnation) bool {
	t := c.targets[i.ID]
	if t == nil || !t.listed || IncarnationOf(t.Target) != i {
		return false
	}
	t.listed = false
	c.replaced[i.ID] = t.Target
	return true
}

// KnowsReplaced reports whether a target, as an entry of the list describes it, is already known
// to be replaced.
func (c *Core) KnowsReplaced(entry roster.Target) bool { return c.isReplaced(entry) }

// Replaced returns the entries of a failure domain's targets that are known to be replaced.
// An empty domain selects all domains.
func (c *Core) Replaced(domain string) (list []roster.Target) {
	for _, t := range c.replaced {
		if domain == "" || t.Domain == domain {
			list = append(list, t)
		}
	}
	return list
}

// isReplaced reports whether an entry describes a target that is known to be replaced. A target
// that renewed its entry since is running.
func (c *Core) isReplaced(entry roster.Target) bool {
	known, ok := c.replaced[entry.ID]
	return ok && IncarnationOf(known) == IncarnationOf(entry) && entry.Seq <= known.Seq
}
