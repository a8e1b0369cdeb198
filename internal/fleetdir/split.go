package fleetdir

import "merlintiller/internal/protocol"

// partBytes is the size at which a part of a change ends. A log entry holds
// twice as much, which leaves room for the frame around it.
const partBytes = protocol.MaxEntryBytes / 2

// Split cuts a change that is too large for one log entry into parts that are
// published one after the other. Diff lists objects before those that refer to
// them and removals last, so each part is whole in itself. At 3,400
// organisations with two keys each a first publication takes three parts; an
// everyday change is one.
func Split(change protocol.FleetChange) []protocol.FleetChange {
	var parts []protocol.FleetChange
	part, size := change, 0
	part.Set, part.Remove = nil, nil
	for _, object := range change.Set {
		bytes := encodedSize(object)
		if size+bytes > partBytes && len(part.Set) > 0 {
			parts = append(parts, part)
			part.Set, size = nil, 0
		}
		part.Set = append(part.Set, object)
		size += bytes
	}
	part.Remove = change.Remove
	return append(parts, part)
}

// encodedSize panics if an object can't be encoded: its types are our own.
func encodedSize(object protocol.FleetObject) int {
	data, err := protocol.Marshal(object)
	if err != nil {
		panic(err)
	}
	return len(data)
}
