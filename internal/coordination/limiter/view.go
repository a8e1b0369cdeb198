package limiter

import (
	"merlintiller/internal/protocol"
)

// Holding is what replay says of a slot's lease.
type Holding struct {
	Session  protocol.SessionID
	Instance protocol.InstanceID
	// Address is the holder's peer address. Only the process there can say
	// that the holder is gone.
	Address string
	// Fence is the offset of the claim that won the slot.
	Fence protocol.Offset
	// Ended says that the session expired. A session that closed, or released
	// the slot, leaves no holding.
	Ended bool
	// Settled is the offset of a record of the session that the holder surely
	// read back: an earlier renewal than its last, or its claim.
	Settled protocol.Offset
}

// Member is an open session of an instance.
type Member struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is where the process answers other instances.
	Address string
	// Opened is the offset of the record that opened the session.
	Opened protocol.Offset
	// Renewed is the offset of its latest renewal, or of the open record.
	Renewed protocol.Offset
}

// View is what replay says of the slots, as of one position in the stream.
type View struct {
	Holdings map[SlotKey]Holding
	// Members are all open sessions, the own one included.
	Members []Member
}

// mates are the members of a failure domain.
func (v View) mates(domain protocol.Domain) []Member {
	var mates []Member
	for _, m := range v.Members {
		if m.Domain == domain {
			mates = append(mates, m)
		}
	}
	return mates
}

// renewed is the latest renewal of a session, NoOffset if it is not open.
func (v View) renewed(session protocol.SessionID) protocol.Offset {
	for _, m := range v.Members {
		if m.Session == session {
			return m.Renewed
		}
	}
	return protocol.NoOffset
}

// readBack is the latest record that an open session surely knows to be its
// own: its latest renewal or the claim of a slot it holds.
func (v View) readBack(session protocol.SessionID) protocol.Offset {
	latest := v.renewed(session)
	for _, h := range v.Holdings {
		if h.Session == session {
			latest = max(latest, h.Fence)
		}
	}
	return latest
}

// holders says whom to ask for each slot: also the holder whose session ended,
// which may still hold by its mates' promises.
func (v View) holders() map[SlotKey]protocol.InstanceID {
	holders := make(map[SlotKey]protocol.InstanceID, len(v.Holdings))
	for key, h := range v.Holdings {
		holders[key] = h.Instance
	}
	return holders
}

// holdersIn are the holders of a domain's slots whose session is open.
func (v View) holdersIn(domain protocol.Domain) Assignment {
	var held Assignment
	for slot := range held {
		if h, ok := v.Holdings[SlotKey{Domain: domain, Slot: slot}]; ok && !h.Ended {
			held[slot] = h.Instance
		}
	}
	return held
}
