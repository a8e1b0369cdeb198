package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
)

// Keys begin with a letter for what they hold, then the job.
const (
	headKey   = "j/"
	itemsKey  = "i/"
	resultKey = "r/"
	textKey   = "t/"
	endKey    = "e/"
	pieceKey  = "p/"
	// MaxID is the longest id of a job, so that all keys fit into the log's
	// bound of 255 bytes.
	MaxID = 200
)

// head is the record that makes a job exist.
type head struct {
	Organisation  string `cbor:"1,keyasint"`
	Host          string `cbor:"2,keyasint"`
	Prefix        string `cbor:"3,keyasint"`
	ConfigVersion int64  `cbor:"4,keyasint"`
	// Submitted, Due and GiveUp are in Unix milliseconds.
	Submitted int64 `cbor:"5,keyasint"`
	Due       int64 `cbor:"6,keyasint"`
	GiveUp    int64 `cbor:"7,keyasint"`
	// Parts is the number of records of items.
	Parts int `cbor:"8,keyasint"`
}

// entry is the record of a result.
type entry struct {
	Item    string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	// Text is empty if it stands in Parts records of its own.
	Text  string `cbor:"3,keyasint,omitempty"`
	Parts int    `cbor:"4,keyasint,omitempty"`
}

// recordOverhead is left free in a record for its key and its encoding.
const recordOverhead = 1 << 10

// EncodeJob gives the records of a job, its head last: a reader that has the
// head has the items. No record is larger than a limit, unless one item is.
func EncodeJob(job *Job, recordBytes int) ([]external.KeyedRecord, error) {
	var records []external.KeyedRecord
	for start := 0; start < len(job.Items); {
		end, size := start, 0
		for end < len(job.Items) {
			size += itemSize(&job.Items[end])
			if end > start && size > recordBytes-recordOverhead {
				break
			}
			end++
		}
		value, err := cbor.Marshal(job.Items[start:end])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(value) > recordBytes-recordOverhead/2 {
			return nil, trace.LimitExceeded("item %q is too large for a record", job.Items[start].ID)
		}
		records = append(records, external.KeyedRecord{Key: part(itemsKey+job.ID, len(records)), Value: value})
		start = end
	}
	value, err := cbor.Marshal(head{
		Organisation: job.Organisation, Host: job.Host, Prefix: job.Prefix, ConfigVersion: job.ConfigVersion,
		Submitted: job.Submitted.UnixMilli(), Due: job.Deadline.UnixMilli(), GiveUp: job.ExpiresAt.UnixMilli(),
		Parts: len(records),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(records, external.KeyedRecord{Key: headKey + job.ID, Value: value}), nil
}

func itemSize(item *Item) int {
	const each = 32
	size := each + len(item.ID) + len(item.Path) + len(item.Body)
	for name, value := range item.Header {
		size += each + len(name) + len(value)
	}
	return size
}

// EncodeEnd gives the record that ends a job.
func EncodeEnd(job string) external.KeyedRecord {
	return external.KeyedRecord{Key: endKey + job, Value: []byte{1}}
}

// EncodeResult gives the records of a result at a position.
func EncodeResult(job string, position int, result Result, recordBytes int) ([]external.KeyedRecord, error) {
	key := position6(resultKey+job, position)
	record := entry{Item: result.Item, Outcome: result.Outcome, Text: result.Text}
	var records []external.KeyedRecord
	if limit := recordBytes - recordOverhead; len(result.Text) > limit {
		record.Text = ""
		for text := result.Text; len(text) > 0; record.Parts++ {
			n := min(limit, len(text))
			records = append(records, external.KeyedRecord{
				Key: part(position6(textKey+job, position), record.Parts), Value: []byte(text[:n]),
			})
			text = text[n:]
		}
	}
	value, err := cbor.Marshal(record)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(records, external.KeyedRecord{Key: key, Value: value}), nil
}

// EncodeDrop gives the records that remove all of a job, its head first: a reader
// that finds only some of them finds no job.
func EncodeDrop(l *Listed) []external.KeyedRecord {
	records := []external.KeyedRecord{{Key: headKey + l.ID}, {Key: endKey + l.ID}}
	for n := range l.itemParts {
		records = append(records, external.KeyedRecord{Key: part(itemsKey+l.ID, n)})
	}
	for position := range l.Results {
		records = append(records, external.KeyedRecord{Key: position6(resultKey+l.ID, position)})
		for n := range l.textParts[position] {
			records = append(records, external.KeyedRecord{Key: part(position6(textKey+l.ID, position), n)})
		}
	}
	for item := range l.Items {
		records = append(records, l.DropProgress(item)...)
	}
	return records
}

// Keys are of fixed width, so that they sort by number.
func part(key string, n int) string      { return fmt.Sprintf("%s/%04d", key, n) }
func position6(key string, n int) string { return fmt.Sprintf("%s/%06d", key, n) }

// cutNumber splits a key before its last slash.
func cutNumber(key string) (rest string, n int, ok bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(key[at+1:])
	return key[:at], n, err == nil && n >= 0
}

func fromMillis(n int64) time.Time { return time.UnixMilli(n) }
