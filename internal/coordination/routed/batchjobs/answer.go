package batchjobs

import (
	"context"
	"time"
)

// results waits for results of a job and gives them.
func (h *holding) results(ctx context.Context, call ResultsCall) ResultsReply {
	ctx, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	for {
		found, changed := h.job(call.Job)
		if !found.known || found.organisation != call.Organisation {
			return ResultsReply{Verdict: h.absent(found, call.Job, call.Organisation)}
		}
		if len(found.results) > call.After || !found.open() || call.Wait <= 0 {
			return page(&found, call.After)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			call.Wait = 0
		}
	}
}

// absent is the verdict on a job that is not there.
func (h *holding) absent(found snapshot, job, organisation string) Verdict {
	if !found.loaded {
		return NotDone
	}
	h.missing(job, organisation)
	return Missing
}

// page gives the results from a position on, at least one if there is one, and
// no more than fit into an answer.
func page(s *snapshot, after int) ResultsReply {
	reply := ResultsReply{Verdict: Done, Total: s.total}
	size := 0
	for position := min(after, len(s.results)); position < len(s.results); position++ {
		size += len(s.results[position].Text)
		if len(reply.Results) > 0 && size > pageBytes {
			break
		}
		reply.Results = append(reply.Results, s.results[position])
	}
	return reply
}

// body gives the body of an item that is not listed.
func (h *holding) body(call BodyCall) BodyReply {
	found, _ := h.job(call.Job)
	if !found.known || found.organisation != call.Organisation {
		return BodyReply{Verdict: h.absent(found, call.Job, call.Organisation)}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l, known := h.state.Job(call.Job)
	if !known || l.Ended || l.Done(call.Item) {
		return BodyReply{Verdict: Missing}
	}
	item, _, ok := l.Item(call.Item)
	if !ok {
		return BodyReply{Verdict: Missing}
	}
	return BodyReply{Verdict: Done, Body: item.Body}
}

// known says whether a job is there.
func (h *holding) known(job string) Verdict {
	found, _ := h.job(job)
	switch {
	case found.known:
		return Done
	case found.loaded:
		return Missing
	default:
		return NotDone
	}
}

// ready reads all that is new, and everything at first.
func (h *holding) ready(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return h.readToEnd(ctx)
}
