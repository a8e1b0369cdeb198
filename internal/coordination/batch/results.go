package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// resultFile describes the output or error file of an ended job.
func (s *Service) resultFile(ctx context.Context, org protocol.OrganisationID, id protocol.JobID, failed bool) (File, *protocol.Refusal) {
	view, refusal := s.endedJob(ctx, org, id)
	if refusal != nil {
		return File{}, refusal
	}
	file := File{
		ID:      OutputFileID(id),
		Name:    string(id) + "_output.jsonl",
		Purpose: PurposeOutput,
		Created: time.Unix(view.EndedAt, 0).UTC(),
		Expires: readableUntil(view, s.opts.ResultsReadable),
	}
	if failed {
		file.ID = ErrorFileID(id)
		file.Name = string(id) + "_error.jsonl"
	}
	return file, nil
}

// endedJob finds a job whose results no longer change.
func (s *Service) endedJob(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (ledger.JobView, *protocol.Refusal) {
	view, refusal := s.find(ctx, org, id)
	if refusal != nil {
		return ledger.JobView{}, refusal
	}
	if view.Status == ledger.InProgress {
		return ledger.JobView{}, protocol.Refuse(protocol.CodeConflict, s.opts.RetryAfter, "job %q is still in progress", id)
	}
	return view, nil
}

// resultContent streams the results of a job in input order: the good ones, or
// the failed ones with those that never came.
func (s *Service) resultContent(ctx context.Context, org protocol.OrganisationID, id protocol.JobID, failed bool, out io.Writer) (*protocol.Refusal, error) {
	view, refusal := s.endedJob(ctx, org, id)
	if refusal != nil {
		return refusal, nil
	}
	reading := &resultReader{journal: s.journal, entries: newEntryReader(s.journal), status: view.Status, failed: failed}
	for number := range view.Chunks {
		results, err := reading.chunk(ctx, ledger.ChunkID{Job: id, Chunk: number})
		if err != nil && number == 0 {
			return s.refuseStorage(err, "the result of job "+string(id)), nil
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := writeResults(out, id, number, results); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return nil, nil
}

func writeResults(out io.Writer, job protocol.JobID, chunk int, results []bulk.Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	for i := range results {
		id := fmt.Sprintf("batch_req_%s_%d_%d", job, chunk, results[i].Item)
		if err := encoder.Encode(outputLine(id, &results[i])); err != nil {
			return err
		}
	}
	return nil
}

// resultReader reads the good or the failed results of an ended job.
type resultReader struct {
	journal coordination.Journal
	entries *entryReader
	status  ledger.Status
	failed  bool
}

// chunk collects the results of one chunk in the order of its items.
func (r *resultReader) chunk(ctx context.Context, id ledger.ChunkID) ([]bulk.Result, error) {
	var chunk ledger.ChunkView
	var found bool
	r.journal.View(func(state *replica.State) { chunk, found = state.Ledger.Chunk(id) })
	if !found {
		return nil, trace.Wrap(fmt.Errorf("chunk %v: %w", id, protocol.ErrMalformed))
	}
	results := make([]*bulk.Result, chunk.Input.Items)
	for _, segment := range chunk.Segments {
		if err := r.fill(ctx, results, segment, id); err != nil {
			return nil, err
		}
	}
	if r.failed {
		markMissing(results, chunk, r.status)
	}
	if err := r.nameLost(ctx, results, chunk); err != nil {
		return nil, err
	}
	return present(results), nil
}

// fill takes from an entry just the results that won: the entry may also hold
// results of items that another instance reported first.
func (r *resultReader) fill(ctx context.Context, results []*bulk.Result, segment ledger.Segment, id ledger.ChunkID) error {
	stored, err := r.entries.results(ctx, segment.Data, id)
	if isLost(err) {
		markLost(results, segment, r.failed)
		return nil
	}
	if err != nil {
		return err
	}
	for i := range stored {
		item := stored[i].Item
		if item < 0 || item >= len(results) || !segment.Items.Has(item) {
			continue
		}
		if segment.Failed.Has(item) == r.failed {
			results[item] = &stored[i]
		}
	}
	return nil
}

// markLost stands in for results that left retention with a line that says so:
// a file that is short must not pass for all there was.
func markLost(results []*bulk.Result, segment ledger.Segment, failed bool) {
	for number := range results {
		if !segment.Items.Has(number) || segment.Failed.Has(number) != failed {
			continue
		}
		results[number] = &bulk.Result{
			Item:    number,
			Code:    protocol.CodeGone,
			Message: "the item ran, and its result has left the platform's retention",
		}
	}
}

// markMissing gives the items without a result an error line, so that every
// line of the input is accounted for.
func markMissing(results []*bulk.Result, chunk ledger.ChunkView, status ledger.Status) {
	for number := range results {
		if chunk.Finished.Has(number) {
			continue
		}
		results[number] = &bulk.Result{
			Item:    number,
			Code:    missingCode(status),
			Message: "the job ended as " + string(status) + " before this item had a result",
		}
	}
}

// nameLost finds the custom ids of the lines that stand in for a result. They
// stay empty if the input is gone too.
func (r *resultReader) nameLost(ctx context.Context, results []*bulk.Result, chunk ledger.ChunkView) error {
	if !slices.ContainsFunc(results, isNameless) {
		return nil
	}
	items, err := r.entries.items(ctx, chunk.Input)
	if err != nil && !isLost(err) {
		return err
	}
	for number, item := range items {
		if number < len(results) && isNameless(results[number]) {
			results[number].CustomID = item.CustomID
		}
	}
	return nil
}

func isNameless(result *bulk.Result) bool { return result != nil && result.CustomID == "" }

// Codes of items that a job ended without.
const (
	codeBatchExpired   protocol.Code = "batch_expired"
	codeBatchCancelled protocol.Code = "batch_cancelled"
)

func missingCode(status ledger.Status) protocol.Code {
	if status == ledger.Expired {
		return codeBatchExpired
	}
	return codeBatchCancelled
}

func present(results []*bulk.Result) []bulk.Result {
	var found []bulk.Result
	for _, result := range results {
		if result != nil {
			found = append(found, *result)
		}
	}
	return found
}
