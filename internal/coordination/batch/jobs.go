package batch

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// JobRequest describes a job to be created from an uploaded file.
type JobRequest struct {
	// InputFile is the id of the uploaded file.
	InputFile string
	// Endpoint must be the endpoint that the lines of the file use.
	Endpoint string
	// CompletionWindow is a duration such as "24h" or "90m".
	CompletionWindow string
	Metadata         map[string]string
}

// Limits of a job's metadata, the same as in OpenAI's batch API.
const (
	maxMetadata      = 16
	maxMetadataKey   = 64
	maxMetadataValue = 512
)

// maxIdempotencyKey limits the length of an idempotency key in bytes, because
// every instance keeps the keys in memory.
const maxIdempotencyKey = 256

// Job describes a job to callers.
type Job struct {
	ledger.JobView
	// ResultsExpireAt is the time from which the results may be unavailable. It
	// is zero while the job is in progress.
	ResultsExpireAt time.Time
}

// CreateBatch submits a job. It returns after the manifest is read back from the
// log as the first one with its key, so that the job survives the loss of the
// instance.
//
// A second request with the same idempotency key returns the existing job.
// Without a key the id of the input file is used instead, because client
// libraries retry on their own and a job that ran twice would be billed twice.
// To run a file twice, a caller sends two different keys.
func (s *Service) CreateBatch(ctx context.Context, org protocol.OrganisationID, req JobRequest, idempotencyKey string) (Job, *protocol.Refusal) {
	manifest, refusal := s.manifest(ctx, org, req, idempotencyKey)
	if refusal != nil {
		return Job{}, refusal
	}
	if existing, found := s.jobByKey(org, manifest.IdempotencyKey); found {
		return s.existingJob(existing, manifest)
	}
	if refusal := s.checkJobLimit(org); refusal != nil {
		return Job{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	outcome := s.journal.Submit(ctx, protocol.Record{JobSubmit: manifest})
	switch {
	case outcome.Run == protocol.NotRun:
		return Job{}, protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "the platform's log does not accept jobs at the moment")
	case outcome.Run != protocol.Completed:
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenEffect,
			"the platform did not confirm the job in time; send it again with the same idempotency key to find it or to submit it")
	case outcome.Verdict == protocol.Accepted || outcome.Verdict == protocol.Duplicate:
		return s.acceptedJob(org, manifest)
	case outcome.Verdict == protocol.NoSession:
		return Job{}, protocol.Refuse(protocol.CodeInstanceStarting, s.opts.RetryAfter, "this instance has no session at the moment")
	}
	return Job{}, protocol.Refuse(protocol.CodeInternal, s.opts.RetryAfter, "the job was not accepted: %s", outcome.Verdict)
}

// checkJobLimit limits the running jobs of an organisation, because every
// instance keeps them in memory. Several instances that accept jobs at the same
// time may exceed the limit by a few jobs.
func (s *Service) checkJobLimit(org protocol.OrganisationID) *protocol.Refusal {
	count := 0
	s.journal.View(func(state *replica.State) { count = state.Ledger.CountRunning(org) })
	if count < s.opts.MaxJobs {
		return nil
	}
	return protocol.Refuse(protocol.CodeRateLimited, s.opts.RetryAfter, "the organisation has reached the limit of jobs in progress: %d", count)
}

// manifest validates a request and builds the manifest of its job.
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
		return nil, protocol.Refuse(protocol.CodeNotFound, 0, "file %q is empty", req.InputFile)
	}
	now := time.Now().UTC().Truncate(time.Second)
	if now.Sub(file.Created) > s.opts.FileTTL {
		return nil, protocol.Refuse(protocol.CodeGone, 0, "file %q has expired: files are kept for %s; upload it again", req.InputFile, s.opts.FileTTL)
	}
	if req.Endpoint != file.Endpoint {
		return nil, badRequest("endpoint", "does not match the file, whose lines use %s", file.Endpoint)
	}
	if refusal := s.checkModels(file.Models); refusal != nil {
		return nil, refusal
	}
	// Retention removes the oldest entry first, so all entries exist if the
	// first one does. Without this check a job with lost input would be accepted
	// although all its items must fail.
	if _, err := newEntryReader(s.journal).items(ctx, file.Chunks[0]); err != nil {
		return nil, s.storageRefusal(err, "the content of file "+req.InputFile)
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

// scopedKey adds a prefix that distinguishes keys chosen by callers from keys
// derived from the input file.
func scopedKey(key, inputFile string) string {
	if key == "" {
		return "file:" + inputFile
	}
	return "key:" + key
}

// checkRequest validates a request and returns its completion window.
func (s *Service) checkRequest(req JobRequest, key string) (time.Duration, *protocol.Refusal) {
	window, err := time.ParseDuration(req.CompletionWindow)
	if err != nil || window <= 0 || window > s.opts.MaxWindow {
		return 0, badRequest("completion_window", "must be a duration up to %s, such as 24h", s.opts.MaxWindow)
	}
	if !slices.Contains(Endpoints, req.Endpoint) {
		return 0, badRequest("endpoint", "is not a supported endpoint for batch items")
	}
	if len(key) > maxIdempotencyKey {
		return 0, badRequest("idempotency_key", "must have at most %d bytes", maxIdempotencyKey)
	}
	if !utf8.ValidString(key) {
		return 0, badRequest("idempotency_key", "must be valid UTF-8")
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

// acceptedJob returns the job that was accepted under the manifest's key.
func (s *Service) acceptedJob(org protocol.OrganisationID, manifest *protocol.JobSubmit) (Job, *protocol.Refusal) {
	existing, found := s.jobByKey(org, manifest.IdempotencyKey)
	if !found {
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenEffect, "the job was accepted but has been deleted since")
	}
	return s.existingJob(existing, manifest)
}

// existingJob returns the first job with the manifest's key, unless that job has
// a different input.
func (s *Service) existingJob(existing ledger.JobView, manifest *protocol.JobSubmit) (Job, *protocol.Refusal) {
	if existing.InputHash != manifest.InputHash || existing.Endpoint != manifest.Endpoint {
		return Job{}, protocol.Refuse(protocol.CodeConflict, 0, "the idempotency key is already used by job %s with a different input", existing.ID)
	}
	return s.callerView(existing), nil
}

// jobByKey returns the job of the organisation with an idempotency key.
func (s *Service) jobByKey(org protocol.OrganisationID, key string) (view ledger.JobView, found bool) {
	s.journal.View(func(state *replica.State) {
		view, found = state.Ledger.JobByIdempotencyKey(org, key)
	})
	return view, found
}

// callerView describes a job to callers.
func (s *Service) callerView(view ledger.JobView) Job {
	job := Job{JobView: view}
	if view.Status != ledger.InProgress {
		job.ResultsExpireAt = resultsExpireAt(view, s.opts.ResultTTL)
	}
	return job
}

// resultsExpireAt is the time from which the results of an ended job may be
// deleted.
func resultsExpireAt(view ledger.JobView, ttl time.Duration) time.Time {
	return time.Unix(view.EndedAt, 0).UTC().Add(ttl)
}

// GetBatch returns a job of the organisation. For any other organisation the job
// does not exist.
func (s *Service) GetBatch(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (Job, *protocol.Refusal) {
	view, refusal := s.findJob(ctx, org, id)
	if refusal != nil {
		return Job{}, refusal
	}
	return s.callerView(view), nil
}

// findJob returns a job of the organisation. It waits up to ReplayWait for an
// unknown job, because the caller may have received the id from an instance that
// replays the log faster.
func (s *Service) findJob(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (ledger.JobView, *protocol.Refusal) {
	limit := time.Now().Add(s.opts.ReplayWait)
	for {
		changed := s.journal.Changed()
		var view ledger.JobView
		var found bool
		s.journal.View(func(state *replica.State) { view, found = state.Ledger.Job(id) })
		if found && view.Organisation == org {
			return view, nil
		}
		if found || !waitForChange(ctx, changed, time.Until(limit)) {
			return ledger.JobView{}, s.jobNotFound(id)
		}
	}
}

// jobNotFound returns the refusal for an unknown job. While this instance can't
// read the log, a recently accepted job may be unknown here, so the refusal must
// not say that the job does not exist.
func (s *Service) jobNotFound(id protocol.JobID) *protocol.Refusal {
	if !s.journal.LogUp() {
		return protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "job %q is unknown to this instance, and the platform's log does not respond", id)
	}
	return protocol.Refuse(protocol.CodeNotFound, 0, "job %q does not exist", id)
}

// JobPage is one page of an organisation's jobs, newest first.
type JobPage struct {
	Jobs []Job
	// HasMore reports whether older jobs follow this page.
	HasMore bool
}

// Number of jobs on a page.
const (
	defaultPage = 20
	maxPage     = 100
)

// ListBatches returns the page of jobs that follows the job with the id after,
// or the first page if after is empty.
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
	page := JobPage{HasMore: end < len(views)}
	for _, view := range views[start:end] {
		page.Jobs = append(page.Jobs, s.callerView(view))
	}
	return page, nil
}

// CancelBatch cancels a job. Results that precede the cancel in the log remain
// valid. Cancelling an ended job returns it unchanged.
func (s *Service) CancelBatch(ctx context.Context, org protocol.OrganisationID, id protocol.JobID) (Job, *protocol.Refusal) {
	view, refusal := s.findJob(ctx, org, id)
	if refusal != nil {
		return Job{}, refusal
	}
	if view.Status != ledger.InProgress {
		return s.callerView(view), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	body := &protocol.JobCancel{Job: id, Organisation: org, At: time.Now().Unix()}
	outcome := s.journal.Submit(ctx, protocol.Record{JobCancel: body})
	switch {
	case outcome.Run == protocol.NotRun:
		return Job{}, protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "the platform's log does not accept the cancel at the moment")
	case outcome.Run != protocol.Completed:
		return Job{}, protocol.Uncertain(protocol.CodeMayHaveTakenEffect, "the platform did not confirm the cancel in time; send it again")
	case outcome.Verdict == protocol.NoSession:
		return Job{}, protocol.Refuse(protocol.CodeInstanceStarting, s.opts.RetryAfter, "this instance has no session at the moment")
	}
	if outcome.Verdict != protocol.Accepted && outcome.Verdict != protocol.AlreadyEnded {
		return Job{}, protocol.Refuse(protocol.CodeInternal, s.opts.RetryAfter, "the cancel was not accepted: %s", outcome.Verdict)
	}
	if s.OnCancel != nil {
		s.OnCancel(id)
	}
	return s.GetBatch(ctx, org, id)
}
