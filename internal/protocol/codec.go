package protocol

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxEntryBytes is the largest payload of one log entry.
const MaxEntryBytes = 1 << 20

// maxElements bounds arrays and maps while decoding, so that a forged length
// can't make a reader allocate without limit.
const maxElements = 1 << 17

// ErrMalformed: bytes from outside do not decode to the expected type.
var ErrMalformed = errors.New("malformed")

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  16,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Marshal encodes a value in deterministic CBOR: equal values give equal
// bytes, so that snapshots of different instances can be compared.
func Marshal(value any) ([]byte, error) {
	return encMode.Marshal(value)
}

// Unmarshal decodes what Marshal wrote. Its error wraps ErrMalformed.
func Unmarshal(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// EncodeFrame encodes a frame and checks it against MaxEntryBytes.
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

// ErrFrameTooLarge: the records do not fit in one log entry.
var ErrFrameTooLarge = errors.New("frame too large")

// DecodeFrame decodes a frame. It rejects records with no body or several: a
// reader that applied just one of them would disagree with one that applied
// another.
func DecodeFrame(data []byte) (Frame, error) {
	var frame Frame
	if err := Unmarshal(data, &frame); err != nil {
		return Frame{}, err
	}
	for i := range frame.Records {
		if n := frame.Records[i].bodies(); n != 1 {
			return Frame{}, fmt.Errorf("%w: record %d has %d bodies", ErrMalformed, i, n)
		}
	}
	return frame, nil
}

// bodies counts the set body fields. Every field of Record after ID is a
// pointer to a body.
func (r *Record) bodies() int {
	count := 0
	value := reflect.ValueOf(r).Elem()
	for i := 1; i < value.NumField(); i++ {
		if !value.Field(i).IsNil() {
			count++
		}
	}
	return count
}

// Kind names the body of a record, for logs and metrics.
func (r *Record) Kind() string {
	value := reflect.ValueOf(r).Elem()
	for i := 1; i < value.NumField(); i++ {
		if !value.Field(i).IsNil() {
			return value.Type().Field(i).Name
		}
	}
	return "none"
}
