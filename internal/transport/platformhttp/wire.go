// Package platformhttp is the HTTP client for the platform's log, instance list and
// weight store. Log pages are encoded in CBOR: a page in JSON would be a third larger,
// and every instance reads the control stream.
package platformhttp

import "merlintiller/internal/protocol"

// AppendReply is the response to an append.
type AppendReply struct {
	Offset protocol.Offset `json:"offset"`
}

// EntryWire is one log entry of a page.
type EntryWire struct {
	Offset  protocol.Offset `cbor:"1,keyasint"`
	Payload []byte          `cbor:"2,keyasint"`
}

// PageWire is the response to a read. Trimmed reports whether the entries that were
// requested are past the retention period.
type PageWire struct {
	Entries []EntryWire     `cbor:"1,keyasint"`
	Oldest  protocol.Offset `cbor:"2,keyasint"`
	Next    protocol.Offset `cbor:"3,keyasint"`
	Trimmed bool            `cbor:"4,keyasint"`
}

// WeightReply is the response to a request for the size of a model's weights.
type WeightReply struct {
	Bytes int64 `json:"bytes"`
}
