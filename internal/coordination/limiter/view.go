package limiter

import (
	"merlintiller/internal/protocol"
)

// SlotLease is the state of a slot's lease in the replayed log.
type SlotLease struct {
	Session  protocol.SessionID
	Instance protocol.InstanceID
	// Address is the holder's peer address. Only the process at this address
	// can confirm that the holder no longer uses the slot.
	Address string
	// Fence is the offset of the accepted claim.
	Fence protocol.Offset
	// Ended is true if the session expired. If the session closed or released
	// the slot, there is no SlotLease.
	Ended bool
	// ReadBack is the offset of a record of the session that the holder must
	// have read back: the renewal before its latest one, or the claim.
	ReadBack protocol.Offset
}

// Member is an open session of an instance.
type Member struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is the peer address of the process.
	Address string
	// Opened is the offset of the record that opened the session.
	Opened protocol.Offset
	// Renewed is the offset of the session's latest renewal, or of its open
	// record if it was never renewed.
	Renewed protocol.Offset
}

// View is a snapshot of the slots and sessions at one position of the replayed
// log.
type View struct {
	Leases map[SlotKey]SlotLease
	// Members are all open sessions, including that of this instance.
	Members []Member
}

// membersIn returns the open sessions of a failure domain.
func (v View) membersIn(domain protocol.Domain) []Member {
	var members []Member
	for _, m := range v.Members {
		if m.Domain == domain {
			members = append(members, m)
		}
	}
	return members
}

// latestRenewal returns the offset of a session's latest renewal, or NoOffset
// if the session is not open.
func (v View) latestRenewal(session protocol.SessionID) protocol.Offset {
	for _, m := range v.Members {
		if m.Session == session {
			return m.Renewed
		}
	}
	return protocol.NoOffset
}

// lastReadBack returns the latest record that an open session must have read
// back itself: its latest renewal or the claim of a slot that it holds.
func (v View) lastReadBack(session protocol.SessionID) protocol.Offset {
	latest := v.latestRenewal(session)
	for _, lease := range v.Leases {
		if lease.Session == session {
			latest = max(latest, lease.Fence)
		}
	}
	return latest
}

// holders returns the instance to ask for each slot. This includes holders
// whose session expired, because they may continue on their peers' promises.
func (v View) holders() map[SlotKey]protocol.InstanceID {
	holders := make(map[SlotKey]protocol.InstanceID, len(v.Leases))
	for key, lease := range v.Leases {
		holders[key] = lease.Instance
	}
	return holders
}

// openHoldersIn returns the holders of a domain's slots whose sessions are
// open.
func (v View) openHoldersIn(domain protocol.Domain) Assignment {
	var held Assignment
	for slot := range held {
		if lease, ok := v.Leases[SlotKey{Domain: domain, Slot: slot}]; ok && !lease.Ended {
			held[slot] = lease.Instance
		}
	}
	return held
}
