package ledger

import "merlintiller/internal/protocol"

// results decides on each part of the record separately. The record is accepted
// if at least one part is.
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

// result accepts the results of items that have none yet. The first result in
// stream order wins. An instance that was paused beyond the end of its lease, or
// whose append was repeated, reports items that already have a result. Accepting
// those too would complete an item twice.
func (l *Ledger) result(at protocol.Offset, body *protocol.ChunkResult) protocol.Verdict {
	j, verdict := l.runningJob(body.Job)
	if j == nil {
		return verdict
	}
	c := j.chunk(body.Chunk)
	reported, failed, ok := parseResult(c, body)
	if !ok {
		return protocol.Malformed
	}
	newItems := reported.andNot(c.finished())
	if newItems.Count() == 0 {
		return protocol.Duplicate
	}
	c.add(Segment{Data: body.Data, Items: newItems, Failed: failed.and(newItems)})
	j.done += newItems.Count()
	j.failed += failed.and(newItems).Count()
	if c.complete() {
		c.holder = 0
	}
	if j.done == j.total {
		l.end(j, Completed, at, body.At)
	}
	return protocol.Accepted
}

// parseResult decodes the bitmaps of a result. ok is false if the chunk does not
// exist, no item is reported, or a bitmap marks items that the chunk does not
// have or, for failed items, that are not reported.
func parseResult(c *chunk, body *protocol.ChunkResult) (reported, failed Bitmap, ok bool) {
	if c == nil || body.Data < 0 {
		return reported, failed, false
	}
	reported, okItems := ParseBitmap(body.Items)
	failed, okFailed := ParseBitmap(body.Failed)
	if !okItems || !okFailed || reported.Count() == 0 {
		return reported, failed, false
	}
	inside := reported.andNot(firstBits(int(c.items))).Count() == 0
	subset := failed.andNot(reported).Count() == 0
	return reported, failed, inside && subset
}

// add records a segment of accepted results.
func (c *chunk) add(segment Segment) {
	c.done += uint16(segment.Items.Count())
	if c.segmentList == nil && c.complete() && segment.Failed.Count() == 0 {
		c.soleSegment = segment.Data
		return
	}
	if c.segmentList == nil {
		c.segmentList = &[]Segment{}
	}
	*c.segmentList = append(*c.segmentList, segment)
}

// moveData replaces the offset of an entry of DataStream that was appended again
// at a later offset.
func (l *Ledger) moveData(body *protocol.DataMoved) protocol.Verdict {
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

// move replaces an offset wherever the chunk refers to it, and reports whether
// the chunk does.
func (c *chunk) move(from, to protocol.Offset) bool {
	replaced := false
	if c.input == from {
		c.input = to
		replaced = true
	}
	if c.soleSegment == from && from != protocol.NoOffset {
		c.soleSegment = to
		replaced = true
	}
	if c.segmentList == nil {
		return replaced
	}
	for i := range *c.segmentList {
		if (*c.segmentList)[i].Data == from {
			(*c.segmentList)[i].Data = to
			replaced = true
		}
	}
	return replaced
}
