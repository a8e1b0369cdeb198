package batchjobs

import "context"

// results returns results of a job, and waits for the first one up to call.Wait.
func (p *partitionReplica) results(ctx context.Context, call ResultsCall) ResultsReply {
	ctx, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	for {
		found, changed := p.job(call.Job)
		if !found.belongsTo(call.Organisation, call.Host) {
			return ResultsReply{Verdict: p.notFound(found, call.Job, call.Organisation)}
		}
		if len(found.results) > call.After || !found.open() || call.Wait <= 0 {
			return resultsPage(&found, call)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			call.Wait = 0
		}
	}
}

// notFound is the verdict on a job that is not in the state: NotDone if the partition
// is not loaded yet, else Missing.
func (p *partitionReplica) notFound(found jobSnapshot, job, organisation string) Verdict {
	if !found.loaded {
		return NotDone
	}
	p.logNotFound(job, organisation)
	return Missing
}

// resultsPage returns the results from a position on: at least one if there is one, and
// no more than fit into an answer.
func resultsPage(s *jobSnapshot, call ResultsCall) ResultsReply {
	first := min(call.After, len(s.results))
	end, size := first, 0
	for ; end < len(s.results); end++ {
		next := size + len(s.results[end].Text)
		if end > first && next > maxPageBytes {
			break
		}
		size = next
	}
	reply := ResultsReply{Verdict: Done, Total: s.total}
	if call.CountOnly {
		reply.PageResults, reply.PageBytes = end-first, size
	} else {
		reply.Results = s.results[first:end:end]
	}
	return reply
}

// body returns the body of an item that has no published result.
func (p *partitionReplica) body(call BodyCall) BodyReply {
	found, _ := p.job(call.Job)
	if !found.belongsTo(call.Organisation, call.Host) {
		return BodyReply{Verdict: p.notFound(found, call.Job, call.Organisation)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	job, known := p.state.Job(call.Job)
	if !known || job.Cancelled || job.HasResult(call.Item) {
		return BodyReply{Verdict: Missing}
	}
	item, _, ok := job.Item(call.Item)
	if !ok {
		return BodyReply{Verdict: Missing}
	}
	return BodyReply{Verdict: Done, Body: item.Body}
}

// lookUp says whether a job of an organisation exists.
func (p *partitionReplica) lookUp(job, organisation string) Verdict {
	found, _ := p.job(job)
	switch {
	case found.known && found.organisation != organisation:
		return Taken
	case found.known:
		return Done
	case found.loaded:
		return Missing
	default:
		return NotDone
	}
}
