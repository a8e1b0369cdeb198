package front

import (
	"context"
	"net/http"
	"time"

	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/protocol/exchange"
)

// existsTimeout limits the time of the question whether a job exists that precedes a request which a route
// matches, or which is rejected.
const existsTimeout = 200 * time.Millisecond

// serveEarlierJob serves a call on a job at a host without a route for jobs: a job that was accepted outlives
// its route. It returns false, without a response, if the request is to be routed as any other: a route of the
// host matches it, and the caller has no job of that name there.
func (c *callerRequest) serveEarlierJob(call exchange.JobCall, routed bool) (served bool) {
	if routed && !c.callerKnown() || routed && !c.jobExists(call.Job) {
		return false
	}
	if !c.authenticate(false) {
		return true
	}
	attempt := c.request.ID
	c.request.ID = call.Job
	if c.answerJobCall(call, c.r.Host) {
		return true
	}
	if !routed {
		c.replyVerdict(batchjobs.Missing, http.StatusOK, operationOf(call.Kind))
		return true
	}
	c.request.ID = attempt
	return false
}

// rejectUnrouted rejects a request that no route matches. If it is the repeated submission of a job that was
// accepted before its route was removed, it is answered as the first one was.
func (c *callerRequest) rejectUnrouted() {
	if c.repeatsSubmission() {
		c.respond(http.StatusAccepted, nil, "")
		c.log("answered", http.StatusAccepted, "submit")
		return
	}
	c.reject(http.StatusNotFound, 0, "no_route")
}

// repeatsSubmission reports whether a request that no route matches has the name of a job that the caller has
// submitted at this host.
func (c *callerRequest) repeatsSubmission() bool {
	if c.r.Method != http.MethodPost || c.request.ID == "" || !c.callerKnown() || !c.jobExists(c.request.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), jobCallTimeout)
	defer cancel()
	reply := c.opts.Jobs.Results(ctx, batchjobs.ResultsCall{Job: c.request.ID, Organisation: c.organisationName(), Host: c.r.Host})
	return reply.Verdict == batchjobs.Done
}

// callerKnown sets the caller's organisation. It returns false if a key is required and the request has no
// known one.
func (c *callerRequest) callerKnown() bool {
	caller, ok := c.table.OrganisationBySecret(c.request.Secret)
	if ok {
		c.organisation = caller
	}
	return ok || !c.table.RequiresKey()
}

func (c *callerRequest) jobExists(job string) bool {
	ctx, cancel := context.WithTimeout(c.r.Context(), existsTimeout)
	defer cancel()
	return c.opts.Jobs.Exists(ctx, job, c.organisationName())
}
