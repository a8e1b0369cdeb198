package jobs

import "time"

// Item is one request of a job.
type Item struct {
	ID   string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// Header is sent to the target.
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	Body   []byte            `cbor:"4,keyasint,omitempty"`
	// Tokens are those of the prompt and the most output together.
	Tokens int `cbor:"5,keyasint,omitempty"`
}

// Job is what was submitted.
type Job struct {
	ID           string
	Organisation string
	// Host and Prefix are those of the route that took it. The items run at the
	// service that this route names when they run.
	Host, Prefix string
	// ConfigVersion is the configuration under which it was taken.
	ConfigVersion int64
	Submitted     time.Time
	// Deadline is when all results are due.
	Deadline time.Time `cbor:"Due"`
	// ExpiresAt is from when on an item may be given up.
	ExpiresAt time.Time `cbor:"GiveUp"`
	Items     []Item
}

// Outcome says how an item ended.
type Outcome string

// The outcomes of items.
const (
	// Succeeded: the text is the item's whole output.
	Succeeded Outcome = "succeeded"
	// Failed: the item can't be done, or was given up.
	Failed Outcome = "failed"
)

// Result is the end of one item.
type Result struct {
	Item    string
	Outcome Outcome
	Text    string
}

// Listed is a job with its results by position.
type JobState struct {
	Job
	Results []Result
	// Ended says that its caller ended it.
	Cancelled bool
	// done are the items that are listed.
	hasResult map[string]bool
	// itemParts is the number of records that hold the items, textParts the same
	// of results that did not fit into one, by position.
	itemRecords int
	textRecords map[int]int
	// progress is what was kept of items that are not listed, by their place.
	progress map[int]*storedOutput
}

// Done says that an item is listed.
func (l *JobState) HasResult(item string) bool { return l.hasResult[item] }

// Open says that the job has items that are still to be done.
func (l *JobState) Open() bool { return !l.Cancelled && len(l.hasResult) < len(l.Items) }

// Item gives an item by id, and its place in the job.
func (l *JobState) Item(id string) (*Item, int, bool) {
	for i := range l.Items {
		if l.Items[i].ID == id {
			return &l.Items[i], i, true
		}
	}
	return nil, 0, false
}
