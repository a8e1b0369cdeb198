// Package fleet replays the configuration in force and the withdrawn keys.
//
// A change names the version that it is based on. It is accepted only if no other
// change was accepted after that version. If two operators publish concurrently,
// one of them gets a conflict, and no change overwrites another unnoticed.
package fleet

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// MaxHistory is the number of accepted changes that are kept, to show operators
// the history and to recognise a change that is sent again. At 530 changes a day
// the history covers almost two days. MaxHistory is not a setting because replay
// depends on it: all instances must use the same value.
const MaxHistory = 1024

// Change is an accepted change as shown in the history to operators.
type Change struct {
	// Version is the offset at which the change was accepted.
	Version  protocol.Offset `cbor:"1,keyasint" json:"version"`
	ChangeID string          `cbor:"2,keyasint" json:"change_id"`
	Operator string          `cbor:"3,keyasint" json:"operator"`
	// At is the time by the operator's clock. It is only displayed.
	At time.Time `cbor:"4,keyasint" json:"at"`
	// Objects lists the changed objects, such as "organisation harbor" or
	// "remove model tiller-8b".
	Objects []string `cbor:"5,keyasint" json:"objects"`
}

// Store is the replayed configuration. It is not safe for concurrent use, but a
// *protocol.Fleet that it returned is never modified.
type Store struct {
	fleet *protocol.Fleet
	// lastChange is the offset of the last accepted FleetChange. The withdrawal
	// of a key also increases the fleet's version but conflicts with no change.
	lastChange protocol.Offset
	history    []Change
}

// New returns a store with an empty configuration.
func New() *Store {
	return &Store{fleet: emptyFleet(), lastChange: protocol.NoOffset}
}

func emptyFleet() *protocol.Fleet {
	return normalise(&protocol.Fleet{Version: protocol.NoOffset})
}

// normalise replaces nil maps with empty ones.
func normalise(f *protocol.Fleet) *protocol.Fleet {
	if f.Organisations == nil {
		f.Organisations = map[protocol.OrganisationID]protocol.Organisation{}
	}
	if f.Keys == nil {
		f.Keys = map[protocol.KeyID]protocol.Key{}
	}
	if f.Models == nil {
		f.Models = map[protocol.ModelName]protocol.Model{}
	}
	if f.Services == nil {
		f.Services = map[protocol.ServiceName]protocol.Service{}
	}
	if f.Domains == nil {
		f.Domains = map[protocol.Domain]protocol.DomainShare{}
	}
	return f
}

// Fleet returns the configuration in force. It is never nil, and the returned
// value is never modified.
func (t *Store) Fleet() *protocol.Fleet { return t.fleet }

// History returns the kept changes, the oldest first.
func (t *Store) History() []Change { return slices.Clone(t.history) }

// VersionOf returns the version that an accepted change created. It is used to
// respond to a change that was sent again because the first response was lost.
func (t *Store) VersionOf(changeID string) (protocol.Offset, bool) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].ChangeID == changeID {
			return t.history[i].Version, true
		}
	}
	return protocol.NoOffset, false
}

// Apply implements state.Machine for the configuration records.
func (t *Store) Apply(at protocol.Offset, rec *protocol.Record, _ state.Sessions) protocol.Verdict {
	switch {
	case rec.FleetChange != nil:
		return t.applyChange(at, rec.FleetChange)
	case rec.KeyWithdraw != nil:
		return t.applyWithdraw(at, rec.KeyWithdraw)
	}
	return protocol.Malformed
}

func (t *Store) applyChange(at protocol.Offset, change *protocol.FleetChange) protocol.Verdict {
	if change.ChangeID == "" {
		return protocol.Malformed
	}
	if _, known := t.VersionOf(change.ChangeID); known {
		return protocol.Duplicate
	}
	if change.BasedOn < t.lastChange || change.BasedOn > t.fleet.Version {
		return protocol.Conflict
	}
	next, err := merge(t.fleet, change)
	if err != nil {
		return protocol.Malformed
	}
	next.Version = at
	t.fleet = next
	t.lastChange = at
	t.appendHistory(Change{
		Version:  at,
		ChangeID: change.ChangeID,
		Operator: change.Operator,
		At:       change.At,
		Objects:  describe(change),
	})
	return protocol.Accepted
}

// appendHistory adds a change to the history and drops the oldest entries beyond
// MaxHistory.
func (t *Store) appendHistory(change Change) {
	t.history = append(t.history, change)
	if len(t.history) > MaxHistory {
		t.history = slices.Clone(t.history[len(t.history)-MaxHistory:])
	}
}

func (t *Store) applyWithdraw(at protocol.Offset, body *protocol.KeyWithdraw) protocol.Verdict {
	if body.Key == "" {
		return protocol.Malformed
	}
	if t.fleet.Keys[body.Key].Withdrawn {
		return protocol.Accepted
	}
	t.fleet = WithdrawKey(t.fleet, body.Key)
	t.fleet.Version = at
	t.appendHistory(Change{
		Version:  at,
		Operator: body.Operator,
		Objects:  []string{"withdraw key " + string(body.Key)},
	})
	return protocol.Accepted
}

// Snapshot is a copy of the full state. Equal states encode to equal bytes.
type Snapshot struct {
	Fleet      protocol.Fleet  `cbor:"1,keyasint"`
	LastChange protocol.Offset `cbor:"2,keyasint"`
	History    []Change        `cbor:"3,keyasint"`
}

// Snapshot copies the state.
func (t *Store) Snapshot() Snapshot {
	return Snapshot{Fleet: *t.fleet, LastChange: t.lastChange, History: append([]Change{}, t.history...)}
}

// Restore returns the store that a snapshot was taken from.
func Restore(s Snapshot) *Store {
	fleet := s.Fleet
	return &Store{fleet: normalise(&fleet), lastChange: s.LastChange, history: slices.Clone(s.History)}
}
