// Package bulk holds the form of the entries of DataStream: batch input, batch
// results, descriptions of uploaded files and stored answers.
//
// Control records point at these entries by offset. An entry that no record
// points at, left behind by a lost answer or a refused upload, has no effect
// and goes away with retention.
package bulk

import (
	"fmt"
	"time"

	"merlintiller/internal/protocol"
)

// MaxPayload is the room for content in one entry; the rest of MaxEntryBytes
// is left to the encoding.
const MaxPayload = protocol.MaxEntryBytes - 64<<10

// Entry is one entry of DataStream. Exactly one field besides At is set.
type Entry struct {
	// At is the writer's wall clock in Unix seconds. The log gives no times, so
	// this is how a reader finds what will leave retention soon.
	At      int64     `cbor:"1,keyasint"`
	Items   []Item    `cbor:"2,keyasint,omitempty"`
	Results []Section `cbor:"3,keyasint,omitempty"`
	File    *File     `cbor:"4,keyasint,omitempty"`
	Answer  *Answer   `cbor:"5,keyasint,omitempty"`
}

// Item is one line of a batch input file.
type Item struct {
	_        struct{} `cbor:",toarray"`
	CustomID string
	Model    protocol.ModelName
	// Body is the request's JSON as it came.
	Body []byte
}

// Section holds results of some items of one chunk. Several chunks share an
// entry, which saves appends.
type Section struct {
	Job     protocol.JobID `cbor:"1,keyasint"`
	Chunk   int            `cbor:"2,keyasint"`
	Results []Result       `cbor:"3,keyasint"`
}

// Result is the result of one item.
type Result struct {
	_ struct{} `cbor:",toarray"`
	// Item is the number of the item in its chunk.
	Item     int
	CustomID string
	// Status is the target's HTTP status, 0 if no answer came.
	Status int
	// RequestID is the id of the call that gave the answer.
	RequestID string
	Body      []byte
	// Code and Message say why the item failed; both empty if it did not.
	Code    protocol.Code
	Message string
}

// Failed says that the item ended as a failed result.
func (r *Result) Failed() bool { return r.Code != "" }

// File describes an uploaded file.
type File struct {
	Organisation protocol.OrganisationID `cbor:"1,keyasint"`
	Name         string                  `cbor:"2,keyasint"`
	Bytes        int64                   `cbor:"3,keyasint"`
	Items        int                     `cbor:"4,keyasint"`
	// Hash is the xxhash of the file's bytes.
	Hash     uint64              `cbor:"5,keyasint"`
	Endpoint string              `cbor:"6,keyasint"`
	Chunks   []protocol.ChunkRef `cbor:"7,keyasint"`
	// Models are the models that the items ask for.
	Models  []protocol.ModelName `cbor:"8,keyasint"`
	Created time.Time            `cbor:"9,keyasint"`
}

// Answer is the stored answer of a call that may not be repeated.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Encode gives the payload of an entry. It fails with
// protocol.ErrFrameTooLarge if the entry does not fit.
func Encode(entry Entry) ([]byte, error) {
	data, err := protocol.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode data entry: %w", err)
	}
	if len(data) > protocol.MaxEntryBytes {
		return nil, fmt.Errorf("data entry of %d bytes: %w", len(data), protocol.ErrFrameTooLarge)
	}
	return data, nil
}

// Decode reads what Encode wrote. Its error wraps protocol.ErrMalformed.
func Decode(data []byte) (Entry, error) {
	var entry Entry
	if err := protocol.Unmarshal(data, &entry); err != nil {
		return Entry{}, fmt.Errorf("data entry: %w", err)
	}
	return entry, nil
}
