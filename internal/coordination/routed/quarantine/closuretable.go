package quarantine

import (
	"maps"
	"slices"
	"time"
)

// closureTable holds closures by the key of what they close.
type closureTable struct {
	all map[string]*closure
	// ofParts are those of parts, which a request is compared with. That of a request is found by its key.
	ofParts map[string]*closure
}

func newClosureTable() closureTable {
	return closureTable{all: map[string]*closure{}, ofParts: map[string]*closure{}}
}

// add adds a closure.
func (t *closureTable) add(c *closure) {
	key := keyOf(c.parts)
	if isRequestKey(key) {
		t.dropOldestRequest()
	} else {
		t.ofParts[key] = c
	}
	t.all[key] = c
}

// hasRoom reports whether a further closure of parts may be kept.
func (t *closureTable) hasRoom() bool { return len(t.ofParts) < maxClosures }

// dropOldestRequest makes room for the closure of a request. It drops the one whose targets ended first.
func (t *closureTable) dropOldestRequest() {
	requests := slices.DeleteFunc(slices.Collect(maps.Values(t.all)), func(c *closure) bool { return !isRequestKey(keyOf(c.parts)) })
	if len(requests) < maxClosedRequests {
		return
	}
	oldest := slices.MinFunc(requests, func(a, b *closure) int { return a.crashed.Compare(b.crashed) })
	delete(t.all, keyOf(oldest.parts))
}

func (t *closureTable) removeExpired(now time.Time) {
	expired := func(_ string, c *closure) bool {
		opened := !c.closed() && now.Sub(c.openedAt) > crashTTL
		return opened || now.Sub(c.crashed) > closureTTL
	}
	maps.DeleteFunc(t.all, expired)
	maps.DeleteFunc(t.ofParts, expired)
}

// concerning returns the closures of which a request with some subjects has all parts.
func (t *closureTable) concerning(subjects []string) (out []*closure) {
	for _, subject := range subjects {
		if c := t.all[subject]; c != nil && isRequestKey(subject) {
			out = append(out, c)
		}
	}
	for _, c := range t.ofParts {
		if c.concerns(subjects) {
			out = append(out, c)
		}
	}
	return out
}
