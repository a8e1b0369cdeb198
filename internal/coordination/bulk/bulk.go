// Package bulk defines the format of the entries of DataStream: batch input, batch
// results, descriptions of uploaded files and stored answers.
//
// Control records refer to these entries by offset. A lost answer or a rejected
// upload may leave an entry to which no record refers. Such an entry has no effect
// and is removed by retention.
package bulk

import (
	"fmt"
	"time"

	"merlintiller/internal/protocol"
)

// MaxPayload is the maximum size of the content of one entry in bytes. The rest of
// MaxEntryBytes is reserved for the encoding.
const MaxPayload = protocol.MaxEntryBytes - 64<<10

// Entry is one entry of DataStream. Exactly one field besides At is set.
type Entry struct {
	// At is the wall-clock time of the writer in Unix seconds. The log stores no
	// times, so readers use it to find entries that retention will remove soon.
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
	// Body is the JSON of the request as uploaded.
	Body []byte
}

// Section contains results of items of one chunk. An entry may have sections of
// several chunks, which saves appends.
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
	// Status is the HTTP status of the target's response, 0 if there was none.
	Status int
	// RequestID is the id of the call that produced the answer.
	RequestID string
	Body      []byte
	// Code and Message describe the failure of the item. Both are empty if the item
	// did not fail.
	Code    protocol.Code
	Message string
}

// Failed reports whether the item failed.
func (r *Result) Failed() bool { return r.Code != "" }

// File describes an uploaded file.
type File struct {
	Organisation protocol.OrganisationID `cbor:"1,keyasint"`
	Name         string                  `cbor:"2,keyasint"`
	Bytes        int64                   `cbor:"3,keyasint"`
	Items        int                     `cbor:"4,keyasint"`
	// Hash is the xxhash of the content of the file.
	Hash     uint64              `cbor:"5,keyasint"`
	Endpoint string              `cbor:"6,keyasint"`
	Chunks   []protocol.ChunkRef `cbor:"7,keyasint"`
	// Models are the models that the items use.
	Models  []protocol.ModelName `cbor:"8,keyasint"`
	Created time.Time            `cbor:"9,keyasint"`
}

// Answer is the stored answer of a call that is not idempotent.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Encode encodes an entry. The error wraps protocol.ErrFrameTooLarge if the result
// exceeds protocol.MaxEntryBytes.
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

// Decode decodes an entry encoded by Encode. Headers of answers and names of files may hold
// any bytes. The error wraps protocol.ErrMalformed.
func Decode(data []byte) (Entry, error) {
	var entry Entry
	if err := protocol.UnmarshalOpaque(data, &entry); err != nil {
		return Entry{}, fmt.Errorf("decode data entry: %w", err)
	}
	return entry, nil
}
