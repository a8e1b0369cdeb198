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
	headPrefix    = "j/"
	itemsPrefix   = "i/"
	resultPrefix  = "r/"
	textPrefix    = "t/"
	cancelPrefix  = "e/"
	segmentPrefix = "p/"
	// MaxID is the longest id of a job, so that all keys fit into the log's
	// bound of 255 bytes.
	MaxID = 200
)

// head is the record that makes a job exist.
type headRecord struct {
	Organisation  string `cbor:"1,keyasint"`
	Host          string `cbor:"2,keyasint"`
	Prefix        string `cbor:"3,keyasint"`
	ConfigVersion int64  `cbor:"4,keyasint"`
	// Submitted, Due and GiveUp are in Unix milliseconds.
	Submitted int64 `cbor:"5,keyasint"`
	Deadline  int64 `cbor:"6,keyasint"`
	ExpiresAt int64 `cbor:"7,keyasint"`
	// Parts is the number of records of items.
	ItemRecords int `cbor:"8,keyasint"`
}

// entry is the record of a result.
type resultRecord struct {
	Item    string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	// Text is empty if it stands in Parts records of its own.
	Text        string `cbor:"3,keyasint,omitempty"`
	TextRecords int    `cbor:"4,keyasint,omitempty"`
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
		records = append(records, external.KeyedRecord{Key: recordKey(itemsPrefix+job.ID, len(records)), Value: value})
		start = end
	}
	value, err := cbor.Marshal(headRecord{
		Organisation: job.Organisation, Host: job.Host, Prefix: job.Prefix, ConfigVersion: job.ConfigVersion,
		Submitted: job.Submitted.UnixMilli(), Deadline: job.Deadline.UnixMilli(), ExpiresAt: job.ExpiresAt.UnixMilli(),
		ItemRecords: len(records),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(records, external.KeyedRecord{Key: headPrefix + job.ID, Value: value}), nil
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
func EncodeCancellation(job string) external.KeyedRecord {
	return external.KeyedRecord{Key: cancelPrefix + job, Value: []byte{1}}
}

// EncodeResult gives the records of a result at a position.
func EncodeResult(job string, position int, result Result, recordBytes int) ([]external.KeyedRecord, error) {
	key := indexKey(resultPrefix+job, position)
	record := resultRecord{Item: result.Item, Outcome: result.Outcome, Text: result.Text}
	var records []external.KeyedRecord
	if limit := recordBytes - recordOverhead; len(result.Text) > limit {
		record.Text = ""
		for text := result.Text; len(text) > 0; record.TextRecords++ {
			n := min(limit, len(text))
			records = append(records, external.KeyedRecord{
				Key: recordKey(indexKey(textPrefix+job, position), record.TextRecords), Value: []byte(text[:n]),
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
func EncodeRemoval(l *JobState) []external.KeyedRecord {
	records := []external.KeyedRecord{{Key: headPrefix + l.ID}, {Key: cancelPrefix + l.ID}}
	for n := range l.itemRecords {
		records = append(records, external.KeyedRecord{Key: recordKey(itemsPrefix+l.ID, n)})
	}
	for position := range l.Results {
		records = append(records, external.KeyedRecord{Key: indexKey(resultPrefix+l.ID, position)})
		for n := range l.textRecords[position] {
			records = append(records, external.KeyedRecord{Key: recordKey(indexKey(textPrefix+l.ID, position), n)})
		}
	}
	for item := range l.Items {
		records = append(records, l.EncodeProgressRemoval(item)...)
	}
	return records
}

// Keys are of fixed width, so that they sort by number.
func recordKey(key string, n int) string { return fmt.Sprintf("%s/%04d", key, n) }
func indexKey(key string, n int) string  { return fmt.Sprintf("%s/%06d", key, n) }

// cutNumber splits a key before its last slash.
func splitNumber(key string) (rest string, n int, ok bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(key[at+1:])
	return key[:at], n, err == nil && n >= 0
}

func fromMillis(n int64) time.Time { return time.UnixMilli(n) }
