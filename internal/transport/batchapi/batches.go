package batchapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// batchObject is OpenAI's batch object.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	ResultsUntil     int64             `json:"results_until,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newBatchObject(job batch.Job) batchObject {
	object := batchObject{
		ID:               string(job.ID),
		Object:           "batch",
		Endpoint:         job.Endpoint,
		InputFileID:      job.InputFile,
		CompletionWindow: formatWindow(job.Deadline.Sub(job.Created)),
		Status:           string(job.Status),
		CreatedAt:        unixOrZero(job.Created),
		InProgressAt:     unixOrZero(job.Created),
		ExpiresAt:        unixOrZero(job.Deadline),
		ResultsUntil:     unixOrZero(job.ResultsExpireAt),
		RequestCounts:    requestCounts{Total: job.Total, Completed: job.Completed, Failed: job.Failed},
		Metadata:         job.Metadata,
	}
	object.setEnd(job)
	return object
}

// formatWindow formats whole hours as OpenAI does, for example "24h".
func formatWindow(window time.Duration) string {
	if window%time.Hour == 0 {
		return strconv.Itoa(int(window/time.Hour)) + "h"
	}
	return window.String()
}

// setEnd sets the end time and the result files of a job that has ended.
func (o *batchObject) setEnd(job batch.Job) {
	switch job.Status {
	case ledger.InProgress:
		return
	case ledger.Completed:
		o.CompletedAt = job.EndedAt
	case ledger.Expired:
		o.ExpiredAt = job.EndedAt
	case ledger.Cancelled:
		o.CancelledAt = job.EndedAt
	}
	if job.Completed > 0 {
		o.OutputFileID = batch.OutputFileID(job.ID)
	}
	if job.Completed < job.Total {
		o.ErrorFileID = batch.ErrorFileID(job.ID)
	}
}

// createRequest is the body of POST /v1/batches.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// maxCreateBytes is the maximum size of the body of POST /v1/batches.
const maxCreateBytes = 64 << 10

// idempotencyHeader is the header with the idempotency key of a new job. A request
// with the key of an existing job returns that job.
const idempotencyHeader = "Idempotency-Key"

func (a *API) createBatch(w http.ResponseWriter, r *http.Request) {
	var body createRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBytes)).Decode(&body); err != nil {
		a.reject(w, badRequest("", "request body is not a batch: %s", err))
		return
	}
	request := batch.JobRequest{
		InputFile:        body.InputFileID,
		Endpoint:         body.Endpoint,
		CompletionWindow: body.CompletionWindow,
		Metadata:         body.Metadata,
	}
	job, refusal := a.service.CreateBatch(r.Context(), a.organisation(r), request, r.Header.Get(idempotencyHeader))
	a.writeJob(w, job, refusal)
}

// writeJob responds with the batch object of job, or with refusal if it is not nil.
func (a *API) writeJob(w http.ResponseWriter, job batch.Job, refusal *protocol.Refusal) {
	if refusal != nil {
		a.reject(w, refusal)
		return
	}
	a.writeJSON(w, http.StatusOK, newBatchObject(job))
}

func (a *API) getBatch(w http.ResponseWriter, r *http.Request) {
	job, refusal := a.service.GetBatch(r.Context(), a.organisation(r), protocol.JobID(r.PathValue("id")))
	a.writeJob(w, job, refusal)
}

func (a *API) cancelBatch(w http.ResponseWriter, r *http.Request) {
	job, refusal := a.service.CancelBatch(r.Context(), a.organisation(r), protocol.JobID(r.PathValue("id")))
	a.writeJob(w, job, refusal)
}

// batchList is OpenAI's list object.
type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	FirstID string        `json:"first_id,omitempty"`
	LastID  string        `json:"last_id,omitempty"`
	HasMore bool          `json:"has_more"`
}

func (a *API) listBatches(w http.ResponseWriter, r *http.Request) {
	limit := 0
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			a.reject(w, badRequest("limit", "must be a number"))
			return
		}
		limit = parsed
	}
	after := protocol.JobID(r.URL.Query().Get("after"))
	page, refusal := a.service.ListBatches(r.Context(), a.organisation(r), after, limit)
	if refusal != nil {
		a.reject(w, refusal)
		return
	}
	a.writeJSON(w, http.StatusOK, newBatchList(page))
}

func newBatchList(page batch.JobPage) batchList {
	list := batchList{Object: "list", Data: make([]batchObject, 0, len(page.Jobs)), HasMore: page.HasMore}
	for _, job := range page.Jobs {
		list.Data = append(list.Data, newBatchObject(job))
	}
	if len(list.Data) > 0 {
		list.FirstID = list.Data[0].ID
		list.LastID = list.Data[len(list.Data)-1].ID
	}
	return list
}
