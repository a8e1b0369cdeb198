package batch

import (
	"context"
	"slices"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// JobRequest asks for a job over an uploaded file.
type JobRequest struct {
	InputFile string
	Endpoint  string
	// Window is the completion window, such as "24h" or "90m".
	Window   string
	Metadata map[string]string
}

// Bounds of a caller's metadata, as OpenAI's batch API has them.
const (
	maxMetadata      = 16
	maxMetadataKey   = 64
	maxMetadataValue = 512
)

// maxIdempotencyKey bounds the key, which every instance remembers, in bytes.
const maxIdempotencyKey = 256

// Job is a job as callers see it.
type Job struct {
	ledger.JobView
	// ResultsUntil is when the results may be gone; zero while in progress.
	ResultsUntil time.Time
}

// CreateBatch submits a job. It is acknowledged once its manifest is read back
// as the winner, so that no loss of the instance can undo it.
//
// A job sent again with the same idempotency key is the first one. Without a
// key the input file stands for it: client libraries resend on their own, and a
// job that ran twice would be billed twice. Who means to run a file twice
// sends two keys.
func (s *Service) CreateBatch(ctx context.Context, org protocol.OrganisationID, req JobRequest, idempotencyKey string) (Job, *protocol.Refusal) {
	manifest, refusal := s.manifest(ctx, org, req, idempotencyKey)
	if refusal != nil {
		return Job{}, refusal
	}
	if first, found := s.submitted(org, manifest.IdempotencyKey); found {
		return s.sameJob(first, manifest)
	}
	if refusal := s.checkCount(org); refusal != nil {
		return Job{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	outcome := s.journal.Submit(ctx, protocol.Record{JobSubmit: manifest})
	switch {
	case outcome.Run == protocol.NotRun:
		return Job{}, protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "the platform's log does not take jobs now")
	case outcome.Run != protocol.Completed:
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenPlace,
			"the platform did not confirm the job in time; send it again with the same idempotency key to find it or to submit it")
	case outcome.Verdict == protocol.Accepted || outcome.Verdict == protocol.Duplicate:
		return s.acknowledge(org, manifest)
	case outcome.Verdict == protocol.NoSession:
		return Job{}, protocol.Refuse(protocol.CodeInstanceStarting, s.opts.RetryAfter, "this instance has no session now")
	}
	return Job{}, protocol.Refuse(protocol.CodeInternal, s.opts.RetryAfter, "the job was not accepted: %s", outcome.Verdict)
}

// checkCount bounds the running jobs of an organisation, which every instance
// holds in memory. Instances that accept at the same moment may pass the bound
// by a few.
func (s *Service) checkCount(org protocol.OrganisationID) *protocol.Refusal {
	count := 0
	s.journal.View(func(state *replica.State) { count = state.Ledger.CountRunning(org) })
	if count < s.opts.MaxJobs {
		return nil
	}
	return protocol.Refuse(protocol.CodeRateLimited, s.opts.RetryAfter, "the organisation has %d jobs in progress, the most allowed", count)
}

func (s *Service) manifest(ctx context.Context, org protocol.OrganisationID, req JobRequest, key string) (*protocol.JobSubmit, *protocol.Refusal) {
	window, refusal := s.checkRequest(req, key)
	if refusal != nil {
		return nil, refusal
	}
	file, refusal := s.readFile(ctx, org, req.InputFile)
	if refusal != nil {
		return nil, refusal
	}
	if len(file.Chunks) == 0 {
		return nil, protocol.Refuse(protocol.CodeNotFound, 0, "file %q has no content", req.InputFile)
	}
	now := time.Now().UTC().Truncate(time.Second)
	if now.Sub(file.Created) > s.opts.FileKept {
		return nil, protocol.Refuse(protocol.CodeGone, 0, "file %q was kept for %s only; upload it again", req.InputFile, s.opts.FileKept)
	}
	if req.Endpoint != file.Endpoint {
		return nil, badRequest("endpoint", "the lines of the file ask for %s", file.Endpoint)
	}
	if refusal := s.checkModels(file.Models); refusal != nil {
		return nil, refusal
	}
	// Retention drops the oldest entry first: if that one is there, all are. A
	// job over lost input would be accepted only to fail.
	if _, err := newEntryReader(s.journal).items(ctx, file.Chunks[0]); err != nil {
		return nil, s.refuseStorage(err, "the content of file "+req.InputFile)
	}
	key = scopedKey(key, req.InputFile)
	return &protocol.JobSubmit{
		Job:            newJobID(),
		Organisation:   org,
		IdempotencyKey: key,
		Endpoint:       req.Endpoint,
		Chunks:         file.Chunks,
		Created:        now,
		Deadline:       now.Add(window),
		InputFile:      req.InputFile,
		Metadata:       req.Metadata,
		InputHash:      file.Hash,
	}, nil
}

// scopedKey keeps the keys that callers choose apart from those that stand for
// an input file.
func scopedKey(key, inputFile string) string {
	if key == "" {
		return "file:" + inputFile
	}
	return "key:" + key
}

func (s *Service) checkRequest(req JobRequest, key string) (time.Duration, *protocol.Refusal) {
	window, err := time.ParseDuration(req.Window)
	if err != nil || window <= 0 || window > s.opts.MaxWindow {
		return 0, badRequest("completion_window", "must be a duration up to %s, such as 24h", s.opts.MaxWindow)
	}
	if !slices.Contains(Endpoints, req.Endpoint) {
		return 0, badRequest("endpoint", "is not an endpoint for batch items")
	}
	if len(key) > maxIdempotencyKey {
		return 0, badRequest("idempotency_key", "must have at most %d bytes", maxIdempotencyKey)
	}
	if len(req.Metadata) > maxMetadata {
		return 0, badRequest("metadata", "must have at most %d entries", maxMetadata)
	}
	for name, value := range req.Metadata {
		if len(name) > maxMetadataKey || len(value) > maxMetadataValue {
			return 0, badRequest("metadata", "%q is too long", name)
		}
	}
	return window, nil
}

// acknowledge answers with the job that won the manifest's key.
func (s *Service) acknowledge(org protocol.OrganisationID, manifest *protocol.JobSubmit) (Job, *protocol.Refusal) {
	first, found := s.submitted(org, manifest.IdempotencyKey)
	if !found {
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenPlace, "the job was accepted and is no longer known")
	}
	return s.sameJob(first, manifest)
}

// sameJob answers a resend with the first job, unless the key was used for
// another input.
func (s *Service) sameJob(first ledger.JobView, manifest *protocol.JobSubmit) (Job, *protocol.Refusal) {
	if first.InputHash != manifest.InputHash || first.Endpoint != manifest.Endpoint {
		return Job{}, protocol.Refuse(protocol.CodeConflict, 0, "the idempotency key was used for another input, as job %s", first.ID)
	}
	return s.job(first), nil
}

func (s *Service) submitted(org protocol.OrganisationID, key string) (view ledger.JobView, found bool) {
	s.journal.View(func(state *replica.State) {
		view, found = state.Ledger.JobByIdempotencyKey(org, key)
	})
	return view, found
}

func (s *Service) job(view ledger.JobView) Job {
	job := Job{JobView: view}
	if view.Status != ledger.InProgress {
		job.ResultsUntil = readableUntil(view, s.opts.ResultsReadable)
	}
	return job
}

// readableUntil is when the results of an ended job may be dropped.
func readableUntil(view ledger.JobView, kept time.Duration) time.Time {
	return time.Unix(view.EndedAt, 0).UTC().Add(kept)
}

// GetBatch returns a job of the organisation. To any other it does not exist.
func (s *Service) GetBatch(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (Job, *protocol.Refusal) {
	view, refusal := s.find(ctx, org, id)
	if refusal != nil {
		return Job{}, refusal
	}
	return s.job(view), nil
}

// find waits a moment for a job it does not know: the caller may have been
// given the id by an instance that replays faster.
func (s *Service) find(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (ledger.JobView, *protocol.Refusal) {
	limit := time.Now().Add(s.opts.ReadLag)
	for {
		changed := s.journal.Changed()
		var view ledger.JobView
		var found bool
		s.journal.View(func(state *replica.State) { view, found = state.Ledger.Job(id) })
		if found && view.Organisation == org {
			return view, nil
		}
		if found || !awaitChange(ctx, changed, time.Until(limit)) {
			return ledger.JobView{}, s.unknownJob(id)
		}
	}
}

// unknownJob must not claim that a job does not exist while this instance
// can't see what was accepted lately.
func (s *Service) unknownJob(id protocol.JobID) *protocol.Refusal {
	if !s.journal.LogUp() {
		return protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "job %q is not known here, and the platform's log does not answer", id)
	}
	return protocol.Refuse(protocol.CodeNotFound, 0, "job %q does not exist", id)
}

// JobPage is a part of the list of an organisation's jobs, newest first.
type JobPage struct {
	Jobs []Job
	More bool
}

// Bounds of a page.
const (
	defaultPage = 20
	maxPage     = 100
)

// ListBatches lists jobs after a job id, or from the newest on if it is empty.
func (s *Service) ListBatches(_ context.Context, org protocol.OrganisationID, after protocol.JobID, limit int) (JobPage, *protocol.Refusal) {
	if limit == 0 {
		limit = defaultPage
	}
	if limit < 1 || limit > maxPage {
		return JobPage{}, badRequest("limit", "must be 1 to %d", maxPage)
	}
	var views []ledger.JobView
	s.journal.View(func(state *replica.State) { views = state.Ledger.Jobs(org) })
	start := 0
	if after != "" {
		start = 1 + slices.IndexFunc(views, func(view ledger.JobView) bool { return view.ID == after })
		if start == 0 {
			return JobPage{}, badRequest("after", "job %q does not exist", after)
		}
	}
	end := min(len(views), start+limit)
	page := JobPage{More: end < len(views)}
	for _, view := range views[start:end] {
		page.Jobs = append(page.Jobs, s.job(view))
	}
	return page, nil
}

// CancelBatch stops a job. Results that precede the cancel in the log stand.
// Cancelling an ended job returns it as it ended.
func (s *Service) CancelBatch(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (Job, *protocol.Refusal) {
	view, refusal := s.find(ctx, org, id)
	if refusal != nil {
		return Job{}, refusal
	}
	if view.Status != ledger.InProgress {
		return s.job(view), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	body := &protocol.JobCancel{Job: id, Organisation: org, At: time.Now().Unix()}
	outcome := s.journal.Submit(ctx, protocol.Record{JobCancel: body})
	switch {
	case outcome.Run == protocol.NotRun:
		return Job{}, protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "the platform's log does not take the cancel now")
	case outcome.Run != protocol.Completed:
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenPlace, "the platform did not confirm the cancel in time; send it again")
	case outcome.Verdict == protocol.NoSession:
		return Job{}, protocol.Refuse(protocol.CodeInstanceStarting, s.opts.RetryAfter, "this instance has no session now")
	}
	if outcome.Verdict != protocol.Accepted && outcome.Verdict != protocol.AlreadyEnded {
		return Job{}, protocol.Refuse(protocol.CodeInternal, s.opts.RetryAfter, "the cancel was not accepted: %s", outcome.Verdict)
	}
	if s.Cancelled != nil {
		s.Cancelled(id)
	}
	return s.GetBatch(ctx, org, id)
}
