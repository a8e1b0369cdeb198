package protocol

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxEntryBytes is the largest payload of one log entry.
const MaxEntryBytes = 1 << 20

// maxElements limits the length of decoded arrays and maps, so that a forged length
// can't make a reader allocate unbounded memory.
const maxElements = 1 << 17

// ErrMalformed reports that external input does not decode to the expected type.
var ErrMalformed = errors.New("malformed")

var (
	encMode    = must(cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode    = must(decOptions(cbor.UTF8RejectInvalid).DecMode())
	opaqueMode = must(decOptions(cbor.UTF8DecodeInvalid).DecMode())
)

func decOptions(text cbor.UTF8Mode) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  16,
		IndefLength:      cbor.IndefLengthForbidden,
		UTF8:             text,
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Marshal encodes a value in deterministic CBOR: equal values have equal encodings,
// so that snapshots of different instances can be compared.
func Marshal(value any) ([]byte, error) {
	return encMode.Marshal(value)
}

// Unmarshal decodes the output of Marshal. Its error wraps ErrMalformed.
func Unmarshal(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// UnmarshalOpaque is Unmarshal for documents whose strings may hold bytes from outside that
// are not valid UTF-8. The encoder writes such a string without a check, and Unmarshal refuses the
// whole document because of it.
func UnmarshalOpaque(data []byte, value any) error {
	if err := opaqueMode.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// EncodeRecord encodes a control record and checks that readers can decode it. They skip a
// frame that holds one they can't decode, with all other records in it. The error wraps
// ErrMalformed.
func EncodeRecord(record *Record) ([]byte, error) {
	data, err := Marshal(record)
	if err != nil {
		return nil, err
	}
	return data, Unmarshal(data, &Record{})
}

// EncodeFrame encodes a frame. It returns ErrFrameTooLarge if the encoding exceeds
// MaxEntryBytes.
func EncodeFrame(frame Frame) ([]byte, error) {
	data, err := Marshal(frame)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("frame of %d bytes: %w", len(data), ErrFrameTooLarge)
	}
	return data, nil
}

// ErrFrameTooLarge reports that the records do not fit in one log entry.
var ErrFrameTooLarge = errors.New("frame too large")

// DecodeFrame decodes a frame. It rejects a frame if one of its records has no body
// or more than one. If readers applied different bodies of the same record, their
// states would diverge.
func DecodeFrame(data []byte) (Frame, error) {
	var frame Frame
	if err := Unmarshal(data, &frame); err != nil {
		return Frame{}, err
	}
	for i := range frame.Records {
		if n := frame.Records[i].countBodies(); n != 1 {
			return Frame{}, fmt.Errorf("%w: record %d has %d bodies", ErrMalformed, i, n)
		}
	}
	return frame, nil
}

// countBodies returns the number of body fields that are set. Every field of Record
// after ID is a pointer to a body.
func (r *Record) countBodies() int {
	count := 0
	value := reflect.ValueOf(r).Elem()
	for i := 1; i < value.NumField(); i++ {
		if !value.Field(i).IsNil() {
			count++
		}
	}
	return count
}

// Kind returns the field name of the record's body, for logs and metrics.
func (r *Record) Kind() string {
	value := reflect.ValueOf(r).Elem()
	for i := 1; i < value.NumField(); i++ {
		if !value.Field(i).IsNil() {
			return value.Type().Field(i).Name
		}
	}
	return "none"
}
