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
		Expires: resultsExpireAt(view, s.opts.ResultTTL),
	}
	if failed {
		file.ID = ErrorFileID(id)
		file.Name = string(id) + "_error.jsonl"
	}
	return file, nil
}

// endedJob returns a job that has ended, so that its results no longer change.
func (s *Service) endedJob(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (ledger.JobView, *protocol.Refusal) {
	view, refusal := s.findJob(ctx, org, id)
	if refusal != nil {
		return ledger.JobView{}, refusal
	}
	if view.Status == ledger.InProgress {
		return ledger.JobView{}, protocol.Refuse(protocol.CodeConflict, s.opts.RetryAfter, "job %q is still in progress", id)
	}
	return view, nil
}

// resultContent writes the results of a job in the order of the input: either the
// successful ones, or the failed ones with an error line for each missing result.
func (s *Service) resultContent(ctx context.Context, org protocol.OrganisationID, id protocol.JobID, failed bool, out io.Writer) (*protocol.Refusal, error) {
	view, refusal := s.endedJob(ctx, org, id)
	if refusal != nil {
		return refusal, nil
	}
	reader := &resultReader{journal: s.journal, entries: newEntryReader(s.journal), status: view.Status, failed: failed}
	for number := range view.Chunks {
		results, err := reader.chunk(ctx, ledger.ChunkID{Job: id, Chunk: number})
		if err != nil && number == 0 {
			return s.storageRefusal(err, "the result of job "+string(id)), nil
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := writeResults(out, id, number, results); err != nil {
			return nil, trace.Wrap(err)
		}
		reader.entries.tries = persistentTries
	}
	return nil, nil
}

// writeResults writes the results of a chunk as lines of a result file.
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

// resultReader reads either the successful or the failed results of an ended job.
type resultReader struct {
	journal coordination.Journal
	entries *entryReader
	// status is the status with which the job ended.
	status ledger.Status
	// failed selects the failed results.
	failed bool
}

// chunk returns the results of one chunk in the order of its items.
func (r *resultReader) chunk(ctx context.Context, id ledger.ChunkID) ([]bulk.Result, error) {
	var chunk ledger.ChunkView
	var found bool
	r.journal.View(func(state *replica.State) { chunk, found = state.Ledger.Chunk(id) })
	if !found {
		return nil, trace.Wrap(fmt.Errorf("chunk %v does not exist: %w", id, protocol.ErrMalformed))
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
	if err := r.fillCustomIDs(ctx, results, chunk); err != nil {
		return nil, err
	}
	return nonNil(results), nil
}

// fill adds the results that an entry contains for a segment of the chunk. The
// entry may also contain results of items whose first result came from another
// instance; these are ignored.
func (r *resultReader) fill(ctx context.Context, results []*bulk.Result, segment ledger.Segment, id ledger.ChunkID) error {
	stored, err := r.entries.results(ctx, segment.Data, id)
	if isUnrecoverable(err) {
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

// markLost adds an error line for each result that retention has removed. Without
// these lines the file would look complete although results are missing.
func markLost(results []*bulk.Result, segment ledger.Segment, failed bool) {
	for number := range results {
		if !segment.Items.Has(number) || segment.Failed.Has(number) != failed {
			continue
		}
		results[number] = &bulk.Result{
			Item:    number,
			Code:    protocol.CodeGone,
			Message: "the item ran, but its result was removed by the platform's retention",
		}
	}
}

// markMissing adds an error line for each item without a result, so that every
// line of the input appears in the output or the error file.
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

// fillCustomIDs sets the custom ids of the added error lines. They stay empty if
// the input was removed too.
func (r *resultReader) fillCustomIDs(ctx context.Context, results []*bulk.Result, chunk ledger.ChunkView) error {
	if !slices.ContainsFunc(results, lacksCustomID) {
		return nil
	}
	items, err := r.entries.items(ctx, chunk.Input)
	if err != nil && !isUnrecoverable(err) {
		return err
	}
	for number, item := range items {
		if number < len(results) && lacksCustomID(results[number]) {
			results[number].CustomID = item.CustomID
		}
	}
	return nil
}

// lacksCustomID reports whether a result is an added error line.
func lacksCustomID(result *bulk.Result) bool { return result != nil && result.CustomID == "" }

// Codes of items that have no result because their job ended first.
const (
	codeBatchExpired   protocol.Code = "batch_expired"
	codeBatchCancelled protocol.Code = "batch_cancelled"
)

// missingCode is the code of the items without a result of an ended job.
func missingCode(status ledger.Status) protocol.Code {
	if status == ledger.Expired {
		return codeBatchExpired
	}
	return codeBatchCancelled
}

// nonNil returns the results that are set.
func nonNil(results []*bulk.Result) []bulk.Result {
	var found []bulk.Result
	for _, result := range results {
		if result != nil {
			found = append(found, *result)
		}
	}
	return found
}
