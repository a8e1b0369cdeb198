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
	jobs map[string]*Listed
	// incomplete are jobs and results whose records are not all there.
	incomplete map[string]*parts
	texts      map[string]*parts
	ended      map[string]bool
	next       int64
}

// parts collects the pieces of what did not fit into one record.
type parts struct {
	head   *head
	entry  *entry
	pieces map[int][]byte
}

// NewPartition returns an empty state.
func NewPartition() *Partition {
	return &Partition{
		jobs:       map[string]*Listed{},
		incomplete: map[string]*parts{},
		texts:      map[string]*parts{},
		ended:      map[string]bool{},
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
		return cmp.Or(cmp.Compare(rank(a.Key), rank(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	var problems []error
	for _, record := range records {
		problems = append(problems, p.record(record))
	}
	p.next = page.Next
	return errors.Join(problems...)
}

// rank puts results behind the jobs that they belong to and behind the texts that
// did not fit into them: a result that waits for its text would keep the ones after
// it from their positions.
func rank(key string) int {
	switch {
	case strings.HasPrefix(key, resultKey):
		return 2
	case strings.HasPrefix(key, textKey), strings.HasPrefix(key, pieceKey):
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
			problems = append(problems, p.record(record))
		}
	}
	p.next = max(p.next, page.Next)
	return errors.Join(problems...)
}

// Job gives a job by id.
func (p *Partition) Job(id string) (*Listed, bool) {
	l, ok := p.jobs[id]
	return l, ok
}

// Jobs gives all jobs.
func (p *Partition) Jobs() map[string]*Listed { return p.jobs }

func (p *Partition) record(record external.KeyedRecord) error {
	if len(record.Key) < len(headKey) {
		return nil
	}
	kind, rest := record.Key[:len(headKey)], record.Key[len(headKey):]
	if len(record.Value) == 0 {
		p.dropped(kind, rest)
		return nil
	}
	switch kind {
	case headKey:
		return p.headRecord(rest, record.Value)
	case itemsKey:
		return p.itemsRecord(rest, record.Value)
	case resultKey:
		return p.resultRecord(rest, record.Value)
	case textKey:
		return p.textRecord(rest, record.Value)
	case pieceKey:
		return p.pieceRecord(rest, record.Value)
	case endKey:
		p.ended[rest] = true
		if job := p.jobs[rest]; job != nil {
			job.Ended = true
		}
	}
	return nil
}

// dropped forgets a job whose head was dropped.
func (p *Partition) dropped(kind, rest string) {
	switch kind {
	case headKey:
		delete(p.jobs, rest)
	case endKey:
		delete(p.ended, rest)
	case itemsKey:
		if job, _, ok := cutNumber(rest); ok {
			delete(p.incomplete, job)
		}
	}
}

func collect(in map[string]*parts, key string) *parts {
	found := in[key]
	if found == nil {
		found = &parts{pieces: map[int][]byte{}}
		in[key] = found
	}
	return found
}

func (p *Partition) headRecord(id string, value []byte) error {
	var h head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return trace.Wrap(err, "head of job %s", id)
	}
	if p.jobs[id] != nil {
		return nil
	}
	collect(p.incomplete, id).head = &h
	return p.complete(id)
}

func (p *Partition) itemsRecord(rest string, value []byte) error {
	id, n, ok := cutNumber(rest)
	if !ok || p.jobs[id] != nil {
		return nil
	}
	collect(p.incomplete, id).pieces[n] = value
	return p.complete(id)
}

// complete makes a job of its records once all are there.
func (p *Partition) complete(id string) error {
	found := p.incomplete[id]
	if found.head == nil || len(found.pieces) < found.head.Parts {
		return nil
	}
	h := found.head
	job := &Listed{
		Job: Job{
			ID: id, Organisation: h.Organisation, Host: h.Host, Prefix: h.Prefix, ConfigVersion: h.ConfigVersion,
			Submitted: fromMillis(h.Submitted), Deadline: fromMillis(h.Due), ExpiresAt: fromMillis(h.GiveUp),
		},
		Ended:     p.ended[id],
		done:      map[string]bool{},
		itemParts: h.Parts,
		textParts: map[int]int{},
		progress:  map[int]*kept{},
	}
	for n := range h.Parts {
		var items []Item
		if err := cbor.Unmarshal(found.pieces[n], &items); err != nil {
			return trace.Wrap(err, "items of job %s", id)
		}
		job.Items = append(job.Items, items...)
	}
	delete(p.incomplete, id)
	p.jobs[id] = job
	return nil
}

func (p *Partition) textRecord(rest string, value []byte) error {
	key, n, ok := cutNumber(rest)
	if !ok {
		return nil
	}
	collect(p.texts, key).pieces[n] = value
	return p.joined(key)
}

func (p *Partition) resultRecord(rest string, value []byte) error {
	var e entry
	if err := cbor.Unmarshal(value, &e); err != nil {
		return trace.Wrap(err, "result %s", rest)
	}
	if e.Parts == 0 {
		return p.result(rest, e)
	}
	collect(p.texts, rest).entry = &e
	return p.joined(rest)
}

// joined lists a result of several records once all are there.
func (p *Partition) joined(key string) error {
	found := p.texts[key]
	if found.entry == nil || len(found.pieces) < found.entry.Parts {
		return nil
	}
	var text strings.Builder
	for n := range found.entry.Parts {
		text.Write(found.pieces[n])
	}
	found.entry.Text = text.String()
	delete(p.texts, key)
	return p.result(key, *found.entry)
}

// result lists a result at its position.
func (p *Partition) result(key string, e entry) error {
	id, position, ok := cutNumber(key)
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
	job.done[e.Item] = true
	if e.Parts > 0 {
		job.textParts[position] = e.Parts
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
