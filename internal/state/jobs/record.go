package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
)

// A key begins with a letter for its kind of record, followed by the id of the job.
const (
	headPrefix    = "j/"
	itemsPrefix   = "i/"
	resultPrefix  = "r/"
	textPrefix    = "t/"
	cancelPrefix  = "e/"
	segmentPrefix = "p/"
	// MaxID is the maximum length of a job's id in bytes. It keeps all keys within
	// the log's limit of 255 bytes.
	MaxID = 200
)

// headRecord is the record that makes a job exist.
type headRecord struct {
	Organisation  string `cbor:"1,keyasint"`
	Host          string `cbor:"2,keyasint"`
	Prefix        string `cbor:"3,keyasint"`
	ConfigVersion int64  `cbor:"4,keyasint"`
	// Submitted, Due and GiveUp are in Unix milliseconds.
	Submitted int64 `cbor:"5,keyasint"`
	Due       int64 `cbor:"6,keyasint"`
	GiveUp    int64 `cbor:"7,keyasint"`
	// ItemRecords is the number of records with items.
	ItemRecords int `cbor:"8,keyasint"`
}

// resultRecord is the record of a result.
type resultRecord struct {
	Item    string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	// Text is empty if the text is in TextRecords records of its own.
	Text        string `cbor:"3,keyasint,omitempty"`
	TextRecords int    `cbor:"4,keyasint,omitempty"`
}

// recordOverhead is the space in bytes reserved in a record for its key and encoding.
const recordOverhead = 1 << 10

// EncodeJob returns the records of a job, its head last: a reader that has the head has
// the items too. No record exceeds recordBytes; an item that is too large is an error.
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
		Submitted: job.Submitted.UnixMilli(), Due: job.Due.UnixMilli(), GiveUp: job.GiveUp.UnixMilli(),
		ItemRecords: len(records),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(records, external.KeyedRecord{Key: headPrefix + job.ID, Value: value}), nil
}

// itemSize estimates the encoded size of an item in bytes.
func itemSize(item *Item) int {
	const overhead = 32
	size := overhead + len(item.ID) + len(item.Path) + len(item.Body)
	for name, value := range item.Header {
		size += overhead + len(name) + len(value)
	}
	return size
}

// EncodeCancellation returns the record that cancels a job.
func EncodeCancellation(job string) external.KeyedRecord {
	return external.KeyedRecord{Key: cancelPrefix + job, Value: []byte{1}}
}

// EncodeResult returns the records of a result at a position. Output that is not valid UTF-8 is an
// error: callers read it as JSON, which would change it.
func EncodeResult(job string, position int, result Result, recordBytes int) ([]external.KeyedRecord, error) {
	if !utf8.ValidString(result.Text) {
		return nil, trace.BadParameter("output of item %q of job %q is not valid UTF-8", result.Item, job)
	}
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

// EncodeRemoval returns the records that remove a job, its head first: a reader that gets
// only some of them sees no job.
func EncodeRemoval(job *JobState) []external.KeyedRecord {
	records := []external.KeyedRecord{{Key: headPrefix + job.ID}, {Key: cancelPrefix + job.ID}}
	for n := range job.itemRecords {
		records = append(records, external.KeyedRecord{Key: recordKey(itemsPrefix+job.ID, n)})
	}
	for position := range job.endPosition() {
		records = append(records, external.KeyedRecord{Key: indexKey(resultPrefix+job.ID, position)})
		for n := range job.textRecords[position] {
			records = append(records, external.KeyedRecord{Key: recordKey(indexKey(textPrefix+job.ID, position), n)})
		}
	}
	for item := range job.Items {
		records = append(records, job.EncodeProgressRemoval(item)...)
	}
	return records
}

// recordKey and indexKey append a number to a key. The number has a fixed width, so that
// keys sort by it.
func recordKey(key string, n int) string { return fmt.Sprintf("%s/%04d", key, n) }
func indexKey(key string, n int) string  { return fmt.Sprintf("%s/%06d", key, n) }

// splitNumber splits a key at its last slash.
func splitNumber(key string) (rest string, n int, ok bool) {
	slash := strings.LastIndexByte(key, '/')
	if slash < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(key[slash+1:])
	return key[:slash], n, err == nil && n >= 0
}

func fromMillis(n int64) time.Time { return time.UnixMilli(n) }
