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
	// submitTimeout limits the time for storing a job. Callers retry on another
	// instance afterwards.
	submitTimeout = 3500 * time.Millisecond
	// jobCallTimeout limits the time of all other calls on batch jobs, in
	// addition to the wait that the call requests.
	jobCallTimeout = 2500 * time.Millisecond
	// maxWait is the maximum wait that a call may request.
	maxWait     = 10 * time.Second
	jsonContent = "application/json"
)

// submitJob stores a new batch job.
func (c *callerRequest) submitJob() {
	if c.r.Method != http.MethodPost {
		c.reject(http.StatusMethodNotAllowed, 0, "method")
		return
	}
	items, err := c.opts.Codec.DecodeItems(c.request.Body)
	if err != nil || c.request.ID == "" || len(c.request.ID) > jobs.MaxID {
		c.reject(http.StatusBadRequest, 0, "job_unreadable", "err", err)
		return
	}
	if retryAfter, unavailable := c.opts.JobsUnavailable(); unavailable {
		c.reject(http.StatusServiceUnavailable, retryAfter, "isolated")
		return
	}
	now := time.Now()
	job := &jobs.Job{
		ID: c.request.ID, Organisation: c.organisationName(),
		Host: c.route.Host, Prefix: c.route.Prefix, ConfigVersion: c.table.Version(),
		Submitted: now, Due: now.Add(c.route.ResultsDue), GiveUp: now.Add(c.route.Retention),
		Items: items,
	}
	limit := submitTimeout
	if c.request.Timeout > 0 {
		limit = min(limit, c.request.Timeout)
	}
	if c.refusesLate(now.Add(limit)) {
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), limit)
	defer cancel()
	c.replyVerdict(c.opts.Jobs.Submit(ctx, job), http.StatusAccepted, "submit")
}

// replyVerdict responds to a call whose result is a verdict without content.
func (c *callerRequest) replyVerdict(verdict batchjobs.Verdict, successStatus int, operation string) {
	switch verdict {
	case batchjobs.Done:
		c.respond(successStatus, nil, "")
		c.log("answered", successStatus, operation)
	case batchjobs.Missing:
		c.respond(http.StatusNotFound, nil, "")
		c.log("refused", http.StatusNotFound, operation)
	case batchjobs.NotDone:
		c.reject(http.StatusServiceUnavailable, shortRetryAfter, operation)
	case batchjobs.Taken:
		c.reject(http.StatusConflict, 0, "job_id_taken")
	default:
		// The call may have taken effect, so the response claims neither
		// outcome.
		c.respond(http.StatusGatewayTimeout, nil, "")
		c.log("failed", http.StatusGatewayTimeout, operation)
	}
}

// serveJobCall serves a call on a job that was submitted before.
func (c *callerRequest) serveJobCall(call exchange.JobCall) {
	if !c.authenticate(false) {
		return
	}
	c.request.ID = call.Job
	if c.refusesLate(time.Now().Add(jobCallTimeout)) {
		return
	}
	if !c.answerJobCall(call, "") {
		c.replyVerdict(batchjobs.Missing, http.StatusOK, operationOf(call.Kind))
	}
}

// answerJobCall responds to a call on a job of the caller's organisation and, unless host is "", of a host.
// It returns false, without a response, if there is no such job.
func (c *callerRequest) answerJobCall(call exchange.JobCall, host string) (answered bool) {
	wait := min(call.Wait, maxWait)
	wait = max(0, time.Until(c.beforeInterrupt(time.Now().Add(wait+jobCallTimeout)))-jobCallTimeout)
	ctx, cancel := context.WithTimeout(c.r.Context(), wait+jobCallTimeout)
	defer cancel()
	organisation := c.organisationName()
	switch call.Kind {
	case exchange.JobResults:
		results := batchjobs.ResultsCall{Job: call.Job, Organisation: organisation, Host: host, After: call.After, Wait: wait}
		reply, err := c.fetchResults(ctx, results)
		if err != nil {
			c.rejectWithoutMemory()
			return true
		}
		return c.answerVerdict(reply.Verdict, call.Kind, func() { c.respondResults(&results, &reply) })
	case exchange.JobItem:
		if !c.holdResponse(maxItemBody) {
			c.rejectWithoutMemory()
			return true
		}
		reply := c.opts.Jobs.Body(ctx, batchjobs.BodyCall{Job: call.Job, Item: call.Item, Organisation: organisation, Host: host})
		if !c.holdResponse(int64(len(reply.Body)) - maxItemBody) {
			c.rejectWithoutMemory()
			return true
		}
		return c.answerVerdict(reply.Verdict, call.Kind, func() {
			c.respond(http.StatusOK, reply.Body, "application/octet-stream")
			c.log("answered", http.StatusOK, operationOf(call.Kind))
		})
	default:
		verdict := c.opts.Jobs.Cancel(ctx, batchjobs.JobCall{Job: call.Job, Organisation: organisation, Host: host})
		return c.answerVerdict(verdict, call.Kind, func() { c.replyVerdict(verdict, http.StatusOK, operationOf(call.Kind)) })
	}
}

// answerVerdict responds to a call on a job, with done if the call has a result. It returns false if there is
// no such job.
func (c *callerRequest) answerVerdict(verdict batchjobs.Verdict, kind exchange.JobKind, done func()) (answered bool) {
	switch verdict {
	case batchjobs.Missing:
		return false
	case batchjobs.Done:
		done()
	default:
		c.replyVerdict(verdict, http.StatusOK, operationOf(kind))
	}
	return true
}

// operationOf names a call on a job in logs.
func operationOf(kind exchange.JobKind) string {
	switch kind {
	case exchange.JobResults:
		return "results"
	case exchange.JobItem:
		return "item"
	default:
		return "end"
	}
}

// pageCopies is how often a page of results is held: as decoded from the reply of the owner, and
// as encoded for the caller.
const pageCopies = 2

// maxItemBody is the number of bytes that are counted for the body of an item before its size is
// known: that of the store's largest record, unless a setting changes it.
const maxItemBody = 256 << 10

// fetchResults fetches results of a job. It asks for their size first and counts it, so that
// callers that don't read can't make the process hold more than its memory. It returns
// errNoMemory if they don't fit.
func (c *callerRequest) fetchResults(ctx context.Context, call batchjobs.ResultsCall) (batchjobs.ResultsReply, error) {
	if c.opts.HeldBytes == nil {
		return c.opts.Jobs.Results(ctx, call), nil
	}
	sized := call
	sized.CountOnly = true
	reply := c.opts.Jobs.Results(ctx, sized)
	if reply.Verdict != batchjobs.Done || reply.PageResults == 0 {
		// There are no results yet, or the owner's release sends them at once.
		return reply, nil
	}
	if !c.holdResponse(pageCopies * int64(reply.PageBytes)) {
		return batchjobs.ResultsReply{}, errNoMemory
	}
	call.Wait = 0
	return c.opts.Jobs.Results(ctx, call), nil
}

func (c *callerRequest) respondResults(call *batchjobs.ResultsCall, reply *batchjobs.ResultsReply) {
	body, err := c.opts.Codec.EncodeResults(reply.Total, call.After, reply.Results)
	if err != nil {
		c.respond(http.StatusInternalServerError, nil, "")
		c.log("failed", http.StatusInternalServerError, "results_unencodable", "err", err)
		return
	}
	if !c.holdResponse(int64(len(body)) - c.responseBytes) {
		// Encoded, some characters take up to six bytes.
		c.rejectWithoutMemory()
		return
	}
	c.respond(http.StatusOK, body, jsonContent)
	c.log("answered", http.StatusOK, "results", "after", call.After, "results", len(reply.Results), "total", reply.Total)
}
