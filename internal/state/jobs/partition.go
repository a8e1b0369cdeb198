package jobs

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Partition is the state of one partition. It is not safe for concurrent use.
type Partition struct {
	jobs map[string]*JobState
	// incompleteJobs and incompleteResults hold what has records missing, by id
	// of the job or by key of the result.
	incompleteJobs    map[string]*recordSet
	incompleteResults map[string]*recordSet
	cancelled         map[string]bool
	next              int64
}

// recordSet collects the records of a job or result that is not complete yet.
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

// Load replaces the state by the newest records of all keys. Unreadable records are
// skipped and reported in the error; the other records are applied.
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

// loadOrder sorts results after the jobs that they belong to and after the records of
// their texts. A result that waits for its text would prevent the next results from
// getting their positions.
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

// Apply applies records that follow the known state. Records that are already applied are
// skipped. Unreadable records are skipped and reported in the error.
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

// Job returns the job with an id.
func (p *Partition) Job(id string) (*JobState, bool) {
	job, ok := p.jobs[id]
	return job, ok
}

// Jobs returns all jobs by id.
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

// applyRemoval forgets what a removed record held. A job goes with its head record.
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

// setFor returns the record set of a key and creates it if needed.
func setFor(in map[string]*recordSet, key string) *recordSet {
	set := in[key]
	if set == nil {
		set = &recordSet{values: map[int][]byte{}}
		in[key] = set
	}
	return set
}

func (p *Partition) applyHead(id string, value []byte) error {
	var head headRecord
	if err := protocol.UnmarshalOpaque(value, &head); err != nil {
		return trace.Wrap(err, "head of job %s", id)
	}
	if p.jobs[id] != nil {
		return nil
	}
	setFor(p.incompleteJobs, id).head = &head
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

// assembleJob adds a job once all its records are present.
func (p *Partition) assembleJob(id string) error {
	set := p.incompleteJobs[id]
	if set.head == nil || len(set.values) < set.head.ItemRecords {
		return nil
	}
	head := set.head
	job := &JobState{
		Job: Job{
			ID: id, Organisation: head.Organisation, Host: head.Host, Prefix: head.Prefix, ConfigVersion: head.ConfigVersion,
			Submitted: fromMillis(head.Submitted), Due: fromMillis(head.Due), GiveUp: fromMillis(head.GiveUp),
		},
		Cancelled:   p.cancelled[id],
		hasResult:   map[string]bool{},
		itemRecords: head.ItemRecords,
		textRecords: map[int]int{},
		later:       map[int]Result{},
		progress:    map[int]*storedOutput{},
	}
	for n := range head.ItemRecords {
		var items []Item
		if err := protocol.UnmarshalOpaque(set.values[n], &items); err != nil {
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
	var record resultRecord
	if err := protocol.UnmarshalOpaque(value, &record); err != nil {
		return trace.Wrap(err, "result %s", rest)
	}
	if record.TextRecords == 0 {
		return p.addResult(rest, record)
	}
	setFor(p.incompleteResults, rest).result = &record
	return p.assembleResult(rest)
}

// assembleResult adds a result of several records once all of them are present.
func (p *Partition) assembleResult(key string) error {
	set := p.incompleteResults[key]
	if set.result == nil || len(set.values) < set.result.TextRecords {
		return nil
	}
	var text strings.Builder
	for n := range set.result.TextRecords {
		text.Write(set.values[n])
	}
	set.result.Text = text.String()
	delete(p.incompleteResults, key)
	return p.addResult(key, *set.result)
}

// addResult adds a result at its position. One that follows a position without a result is
// reported as an error and kept: the result before can't be read. Its item runs again, and the
// later ones are listed after it.
func (p *Partition) addResult(key string, record resultRecord) error {
	id, position, ok := splitNumber(key)
	if !ok {
		return trace.BadParameter("result under invalid key %q", key)
	}
	job := p.jobs[id]
	if job == nil || position < len(job.Results) {
		return nil
	}
	if _, known := job.later[position]; known {
		return nil
	}
	var problem error
	switch {
	case position > len(job.Results):
		problem = trace.BadParameter("result %d of job %s found before result %d", position, id, len(job.Results))
	case !utf8.ValidString(record.Text):
		// Written by an earlier release. Callers read JSON, which can't hold it.
		problem = trace.BadParameter("result %d of job %s is not valid UTF-8, callers get it changed", position, id)
	}
	job.later[position] = Result{Item: record.Item, Outcome: record.Outcome, Text: record.Text}
	job.listLater()
	job.hasResult[record.Item] = true
	if record.TextRecords > 0 {
		job.textRecords[position] = record.TextRecords
	}
	if item, index, ok := job.Item(record.Item); ok {
		// Once an item has a result, its body and its stored output are not needed
		// any more.
		item.Body = nil
		if stored := job.progress[index]; stored != nil {
			stored.Progress = Progress{}
		}
	}
	return problem
}
