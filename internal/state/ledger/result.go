package ledger

import "merlintiller/internal/protocol"

// results decides each part by itself.
func (l *Ledger) results(at protocol.Offset, body *protocol.ChunkResults) protocol.Verdict {
	verdict := protocol.Malformed
	for i := range body.Parts {
		part := l.result(at, &body.Parts[i])
		if verdict != protocol.Accepted {
			verdict = part
		}
	}
	return verdict
}

// result gives each item that has none yet its result. The first one in stream
// order stands: an instance that was paused past its lease, or one whose
// append was repeated, reports results that another has reported, and taking
// them too would complete an item twice.
func (l *Ledger) result(at protocol.Offset, body *protocol.ChunkResult) protocol.Verdict {
	j, verdict := l.open(body.Job)
	if j == nil {
		return verdict
	}
	c := j.chunk(body.Chunk)
	reported, failed, ok := parseResult(c, body)
	if !ok {
		return protocol.Malformed
	}
	fresh := reported.without(c.won())
	if fresh.Count() == 0 {
		return protocol.Duplicate
	}
	c.add(Segment{Data: body.Data, Items: fresh, Failed: failed.and(fresh)})
	j.done += fresh.Count()
	j.failed += failed.and(fresh).Count()
	if c.complete() {
		c.holder = 0
	}
	if j.done == j.total {
		l.end(j, Completed, at, body.At)
	}
	return protocol.Accepted
}

func parseResult(c *chunk, body *protocol.ChunkResult) (reported, failed Bitmap, ok bool) {
	if c == nil || body.Data < 0 {
		return reported, failed, false
	}
	reported, okItems := ParseBitmap(body.Items)
	failed, okFailed := ParseBitmap(body.Failed)
	if !okItems || !okFailed || reported.Count() == 0 {
		return reported, failed, false
	}
	inside := reported.without(firstBits(int(c.items))).Count() == 0
	subset := failed.without(reported).Count() == 0
	return reported, failed, inside && subset
}

func (c *chunk) add(segment Segment) {
	c.done += uint16(segment.Items.Count())
	if c.parts == nil && c.complete() && segment.Failed.Count() == 0 {
		c.whole = segment.Data
		return
	}
	if c.parts == nil {
		c.parts = &[]Segment{}
	}
	*c.parts = append(*c.parts, segment)
}

// moved follows an entry of DataStream to its later offset.
func (l *Ledger) moved(body *protocol.DataMoved) protocol.Verdict {
	j, ok := l.jobs[body.Job]
	if !ok {
		return protocol.UnknownSubject
	}
	c := j.chunk(body.Chunk)
	if c == nil || body.To < 0 {
		return protocol.Malformed
	}
	if !c.move(body.From, body.To) {
		return protocol.Conflict
	}
	return protocol.Accepted
}

func (c *chunk) move(from, to protocol.Offset) bool {
	found := false
	if c.input == from {
		c.input = to
		found = true
	}
	if c.whole == from && from != protocol.NoOffset {
		c.whole = to
		found = true
	}
	if c.parts == nil {
		return found
	}
	for i := range *c.parts {
		if (*c.parts)[i].Data == from {
			(*c.parts)[i].Data = to
			found = true
		}
	}
	return found
}
