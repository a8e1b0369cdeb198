package front

import (
	"context"
	"net/http"
	"time"

	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
)

const (
	// submitTime bounds the writing of a job. Callers send it again elsewhere
	// after that.
	submitTime = 3500 * time.Millisecond
	// callTime bounds the other calls of batch jobs, beyond the wait that they
	// ask for.
	callTime = 2500 * time.Millisecond
	// longestWait bounds the wait that a call may ask for.
	longestWait = 10 * time.Second
	jsonContent = "application/json"
)

// submit takes a batch job.
func (v *visit) submit() {
	if v.r.Method != http.MethodPost {
		v.refuse(http.StatusMethodNotAllowed, 0, "method")
		return
	}
	items, err := v.opts.Codec.DecodeItems(v.request.Body)
	if err != nil || v.request.ID == "" || len(v.request.ID) > jobs.MaxID {
		v.refuse(http.StatusBadRequest, 0, "job_unreadable")
		return
	}
	if retry, none := v.opts.JobsUnavailable(); none {
		v.refuse(http.StatusServiceUnavailable, retry, "isolated")
		return
	}
	now := time.Now()
	job := &jobs.Job{
		ID: v.request.ID, Organisation: v.organisationName(),
		Host: v.route.Host, Prefix: v.route.Prefix, ConfigVersion: v.table.Version(),
		Submitted: now, Due: now.Add(v.route.ResultsDue), GiveUp: now.Add(v.route.Retention),
		Items: items,
	}
	limit := submitTime
	if v.request.Patience > 0 {
		limit = min(limit, v.request.Patience)
	}
	ctx, cancel := context.WithTimeout(v.r.Context(), limit)
	defer cancel()
	v.settle(v.opts.Jobs.Submit(ctx, job), http.StatusAccepted, "submit")
}

// settle answers a call that has a verdict and no content.
func (v *visit) settle(verdict batchjobs.Verdict, done int, what string) {
	switch verdict {
	case batchjobs.Done:
		v.answer(done, nil, "")
		v.log("answered", done, what)
	case batchjobs.Missing:
		v.answer(http.StatusNotFound, nil, "")
		v.log("refused", http.StatusNotFound, what)
	case batchjobs.NotDone:
		v.refuse(http.StatusServiceUnavailable, lightRetry, what)
	default:
		// It may have taken effect: no promise can be made.
		v.answer(http.StatusGatewayTimeout, nil, "")
		v.log("failed", http.StatusGatewayTimeout, what)
	}
}

// jobCall serves a call on a job that was submitted before.
func (v *visit) jobCall(call exchange.JobCall) {
	if !v.authenticate(false) {
		return
	}
	v.request.ID = call.Job
	wait := min(call.Wait, longestWait)
	ctx, cancel := context.WithTimeout(v.r.Context(), wait+callTime)
	defer cancel()
	organisation := v.organisationName()
	switch call.Kind {
	case exchange.JobResults:
		v.results(ctx, batchjobs.ResultsCall{Job: call.Job, Organisation: organisation, After: call.After, Wait: wait})
	case exchange.JobItem:
		reply := v.opts.Jobs.Body(ctx, batchjobs.BodyCall{Job: call.Job, Item: call.Item, Organisation: organisation})
		if reply.Verdict != batchjobs.Done {
			v.settle(reply.Verdict, http.StatusOK, "item")
			return
		}
		v.answer(http.StatusOK, reply.Body, "application/octet-stream")
		v.log("answered", http.StatusOK, "item")
	case exchange.JobEnd:
		v.settle(v.opts.Jobs.Cancel(ctx, batchjobs.JobCall{Job: call.Job, Organisation: organisation}), http.StatusOK, "end")
	}
}

func (v *visit) results(ctx context.Context, call batchjobs.ResultsCall) {
	reply := v.opts.Jobs.Results(ctx, call)
	if reply.Verdict != batchjobs.Done {
		v.settle(reply.Verdict, http.StatusOK, "results")
		return
	}
	body, err := v.opts.Codec.EncodeResults(reply.Total, call.After, reply.Results)
	if err != nil {
		v.answer(http.StatusInternalServerError, nil, "")
		v.log("failed", http.StatusInternalServerError, "results_unencodable", "err", err)
		return
	}
	v.answer(http.StatusOK, body, jsonContent)
	v.log("answered", http.StatusOK, "results", "after", call.After, "results", len(reply.Results), "total", reply.Total)
}
