package jobs

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/external"
)

// Partition is the state of one partition. It is not safe for concurrent use.
type Partition struct {
	jobs map[string]*JobState
	// incomplete are jobs and results whose records are not all there.
	incompleteJobs    map[string]*recordSet
	incompleteResults map[string]*recordSet
	cancelled         map[string]bool
	next              int64
}

// parts collects the pieces of what did not fit into one record.
type recordSet struct {
	head   *headRecord
	result *resultRecord
	values map[int][]byte
}

// NewPartition returns an empty state.
func NewPartition() *Partition {
	return &Partition{
		jobs:              map[string]*JobState{},
		incompleteJobs:    map[string]*recordSet{},
		incompleteResults: map[string]*recordSet{},
		cancelled:         map[string]bool{},
	}
}

// Next is the offset that is applied next.
func (p *Partition) Next() int64 { return p.next }

// Load takes over the newest records of all keys, as a start. Records that can't
// be read are left out, and the error tells of them; the rest holds.
func (p *Partition) Load(page external.KeyedPage) error {
	*p = *NewPartition()
	records := slices.Clone(page.Records)
	slices.SortFunc(records, func(a, b external.KeyedRecord) int {
		return cmp.Or(cmp.Compare(loadOrder(a.Key), loadOrder(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	var problems []error
	for _, record := range records {
		problems = append(problems, p.applyRecord(record))
	}
	p.next = page.Next
	return errors.Join(problems...)
}

// rank puts results behind the jobs that they belong to and behind the texts that
// did not fit into them: a result that waits for its text would keep the ones after
// it from their positions.
func loadOrder(key string) int {
	switch {
	case strings.HasPrefix(key, resultPrefix):
		return 2
	case strings.HasPrefix(key, textPrefix), strings.HasPrefix(key, segmentPrefix):
		return 1
	default:
		return 0
	}
}

// Apply takes over records that follow what is known. Those that are known
// already are left out, and so are those that can't be read, of which the error
// tells.
func (p *Partition) Apply(page external.KeyedPage) error {
	var problems []error
	for _, record := range page.Records {
		if record.Offset >= p.next {
			problems = append(problems, p.applyRecord(record))
		}
	}
	p.next = max(p.next, page.Next)
	return errors.Join(problems...)
}

// Job gives a job by id.
func (p *Partition) Job(id string) (*JobState, bool) {
	l, ok := p.jobs[id]
	return l, ok
}

// Jobs gives all jobs.
func (p *Partition) Jobs() map[string]*JobState { return p.jobs }

func (p *Partition) applyRecord(record external.KeyedRecord) error {
	if len(record.Key) < len(headPrefix) {
		return nil
	}
	kind, rest := record.Key[:len(headPrefix)], record.Key[len(headPrefix):]
	if len(record.Value) == 0 {
		p.applyRemoval(kind, rest)
		return nil
	}
	switch kind {
	case headPrefix:
		return p.applyHead(rest, record.Value)
	case itemsPrefix:
		return p.applyItems(rest, record.Value)
	case resultPrefix:
		return p.applyResult(rest, record.Value)
	case textPrefix:
		return p.applyText(rest, record.Value)
	case segmentPrefix:
		return p.applySegment(rest, record.Value)
	case cancelPrefix:
		p.cancelled[rest] = true
		if job := p.jobs[rest]; job != nil {
			job.Cancelled = true
		}
	}
	return nil
}

// dropped forgets a job whose head was dropped.
func (p *Partition) applyRemoval(kind, rest string) {
	switch kind {
	case headPrefix:
		delete(p.jobs, rest)
	case cancelPrefix:
		delete(p.cancelled, rest)
	case itemsPrefix:
		if job, _, ok := splitNumber(rest); ok {
			delete(p.incompleteJobs, job)
		}
	}
}

func setFor(in map[string]*recordSet, key string) *recordSet {
	found := in[key]
	if found == nil {
		found = &recordSet{values: map[int][]byte{}}
		in[key] = found
	}
	return found
}

func (p *Partition) applyHead(id string, value []byte) error {
	var h headRecord
	if err := cbor.Unmarshal(value, &h); err != nil {
		return trace.Wrap(err, "head of job %s", id)
	}
	if p.jobs[id] != nil {
		return nil
	}
	setFor(p.incompleteJobs, id).head = &h
	return p.assembleJob(id)
}

func (p *Partition) applyItems(rest string, value []byte) error {
	id, n, ok := splitNumber(rest)
	if !ok || p.jobs[id] != nil {
		return nil
	}
	setFor(p.incompleteJobs, id).values[n] = value
	return p.assembleJob(id)
}

// complete makes a job of its records once all are there.
func (p *Partition) assembleJob(id string) error {
	found := p.incompleteJobs[id]
	if found.head == nil || len(found.values) < found.head.ItemRecords {
		return nil
	}
	h := found.head
	job := &JobState{
		Job: Job{
			ID: id, Organisation: h.Organisation, Host: h.Host, Prefix: h.Prefix, ConfigVersion: h.ConfigVersion,
			Submitted: fromMillis(h.Submitted), Deadline: fromMillis(h.Deadline), ExpiresAt: fromMillis(h.ExpiresAt),
		},
		Cancelled:   p.cancelled[id],
		hasResult:   map[string]bool{},
		itemRecords: h.ItemRecords,
		textRecords: map[int]int{},
		progress:    map[int]*storedOutput{},
	}
	for n := range h.ItemRecords {
		var items []Item
		if err := cbor.Unmarshal(found.values[n], &items); err != nil {
			return trace.Wrap(err, "items of job %s", id)
		}
		job.Items = append(job.Items, items...)
	}
	delete(p.incompleteJobs, id)
	p.jobs[id] = job
	return nil
}

func (p *Partition) applyText(rest string, value []byte) error {
	key, n, ok := splitNumber(rest)
	if !ok {
		return nil
	}
	setFor(p.incompleteResults, key).values[n] = value
	return p.assembleResult(key)
}

func (p *Partition) applyResult(rest string, value []byte) error {
	var e resultRecord
	if err := cbor.Unmarshal(value, &e); err != nil {
		return trace.Wrap(err, "result %s", rest)
	}
	if e.TextRecords == 0 {
		return p.addResult(rest, e)
	}
	setFor(p.incompleteResults, rest).result = &e
	return p.assembleResult(rest)
}

// joined lists a result of several records once all are there.
func (p *Partition) assembleResult(key string) error {
	found := p.incompleteResults[key]
	if found.result == nil || len(found.values) < found.result.TextRecords {
		return nil
	}
	var text strings.Builder
	for n := range found.result.TextRecords {
		text.Write(found.values[n])
	}
	found.result.Text = text.String()
	delete(p.incompleteResults, key)
	return p.addResult(key, *found.result)
}

// result lists a result at its position.
func (p *Partition) addResult(key string, e resultRecord) error {
	id, position, ok := splitNumber(key)
	if !ok {
		return trace.BadParameter("result under key %q", key)
	}
	job := p.jobs[id]
	if job == nil || position < len(job.Results) {
		return nil
	}
	if position > len(job.Results) {
		return trace.BadParameter("result %d of job %s comes before result %d", position, id, len(job.Results))
	}
	job.Results = append(job.Results, Result{Item: e.Item, Outcome: e.Outcome, Text: e.Text})
	job.hasResult[e.Item] = true
	if e.TextRecords > 0 {
		job.textRecords[position] = e.TextRecords
	}
	if item, place, ok := job.Item(e.Item); ok {
		// The body is asked for only until the item is listed, and nobody goes on
		// with it any more.
		item.Body = nil
		if found := job.progress[place]; found != nil {
			found.Progress = Progress{}
		}
	}
	return nil
}
