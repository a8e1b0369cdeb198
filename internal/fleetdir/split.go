package fleetdir

import "merlintiller/internal/protocol"

// maxPartBytes is the largest size of a part of a change. A log entry may be twice as
// large, which leaves room for the frame around the part.
const maxPartBytes = protocol.MaxEntryBytes / 2

// Split divides a change that is too large for one log entry into parts that are
// published one after the other. Diff lists each object before the objects that refer
// to it, and removals last, so each part is valid by itself. The first publication of
// 3,400 organisations with two keys each takes three parts. A usual change is one part.
func Split(change protocol.FleetChange) []protocol.FleetChange {
	var parts []protocol.FleetChange
	part, size := change, 0
	part.Set, part.Remove = nil, nil
	for _, object := range change.Set {
		objectBytes := encodedSize(object)
		if size+objectBytes > maxPartBytes && len(part.Set) > 0 {
			parts = append(parts, part)
			part.Set, size = nil, 0
		}
		part.Set = append(part.Set, object)
		size += objectBytes
	}
	part.Remove = change.Remove
	return append(parts, part)
}

// encodedSize returns the size of an encoded object, in bytes. It panics if the object
// cannot be encoded, which would be a fault in the types of package protocol.
func encodedSize(object protocol.FleetObject) int {
	data, err := protocol.Marshal(object)
	if err != nil {
		panic(err)
	}
	return len(data)
}
