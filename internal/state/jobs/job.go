package jobs

import "time"

// Item is one request of a job.
type Item struct {
	ID   string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// Header holds the header fields sent to the target.
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	Body   []byte            `cbor:"4,keyasint,omitempty"`
	// Tokens is the sum of the prompt tokens and the maximum output tokens.
	Tokens int `cbor:"5,keyasint,omitempty"`
}

// Job is a batch job as submitted. Instances exchange jobs over net/rpc, whose encoding
// (gob) uses the Go names of the fields.
type Job struct {
	ID           string
	Organisation string
	// Host and Prefix identify the route that accepted the job. An item runs at
	// the service that this route names when the item runs.
	Host, Prefix string
	// ConfigVersion is the version of the configuration that accepted the job.
	ConfigVersion int64
	Submitted     time.Time
	// Due is the deadline for all results. GiveUp is the time of expiry: from then
	// on, items without a result may be failed.
	Due, GiveUp time.Time
	Items       []Item
}

// Outcome says how an item ended.
type Outcome string

// The outcomes of items.
const (
	// Succeeded: the text is the item's complete output.
	Succeeded Outcome = "succeeded"
	// Failed: the item can't be done, or has expired.
	Failed Outcome = "failed"
)

// Result is the result of one item.
type Result struct {
	Item    string
	Outcome Outcome
	Text    string
}

// JobState is a job with its published results by position.
type JobState struct {
	Job
	Results []Result
	// Cancelled says that the caller cancelled the job.
	Cancelled bool
	// hasResult holds the ids of the items that have a published result.
	hasResult map[string]bool
	// itemRecords is the number of records that hold the items. textRecords is the
	// number of records that hold the text of a result, by position, for results that
	// did not fit into one record.
	itemRecords int
	textRecords map[int]int
	// later holds results by position that follow a position without a readable result. They
	// are listed once that position has one.
	later map[int]Result
	// progress is the stored output of items without a result, by item index.
	progress map[int]*storedOutput
}

// HasResult says that an item has a published result.
func (s *JobState) HasResult(item string) bool { return s.hasResult[item] }

// Open says that the job has items without a result and is not cancelled.
func (s *JobState) Open() bool { return !s.Cancelled && len(s.hasResult) < len(s.Items) }

// Item returns the item with an id, and its index in the job.
func (s *JobState) Item(id string) (*Item, int, bool) {
	for i := range s.Items {
		if s.Items[i].ID == id {
			return &s.Items[i], i, true
		}
	}
	return nil, 0, false
}

// FreePosition returns the position for the next result after a number of other new ones. A
// position whose result can't be read is free.
func (s *JobState) FreePosition(others int) int {
	position := len(s.Results)
	for ; ; position++ {
		if _, taken := s.later[position]; taken {
			continue
		}
		if others == 0 {
			return position
		}
		others--
	}
}

// endPosition returns the position after the last result.
func (s *JobState) endPosition() int {
	end := len(s.Results)
	for position := range s.later {
		end = max(end, position+1)
	}
	return end
}

// listLater lists the results that follow the listed ones without a gap.
func (s *JobState) listLater() {
	for {
		next, known := s.later[len(s.Results)]
		if !known {
			return
		}
		delete(s.later, len(s.Results))
		s.Results = append(s.Results, next)
	}
}
