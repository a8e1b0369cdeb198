// Package platformhttp is the thin HTTP adapter for the platform: its log,
// instance list and weight store. Log pages travel as CBOR, because a page in
// JSON would be a third larger and every instance reads the control stream.
package platformhttp

import "merlintiller/internal/protocol"

// AppendReply answers an append.
type AppendReply struct {
	Offset protocol.Offset `json:"offset"`
}

// EntryWire is one entry of a page.
type EntryWire struct {
	Offset  protocol.Offset `cbor:"1,keyasint"`
	Payload []byte          `cbor:"2,keyasint"`
}

// PageWire answers a read. Trimmed says that the entries asked for have left
// retention.
type PageWire struct {
	Entries []EntryWire     `cbor:"1,keyasint"`
	Oldest  protocol.Offset `cbor:"2,keyasint"`
	Next    protocol.Offset `cbor:"3,keyasint"`
	Trimmed bool            `cbor:"4,keyasint"`
}

// WeightReply answers a look at the weight store.
type WeightReply struct {
	Bytes int64 `json:"bytes"`
}
