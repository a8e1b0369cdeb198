package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// JobView is a copy of the state of a job.
type JobView struct {
	ID             protocol.JobID
	Organisation   protocol.OrganisationID
	IdempotencyKey string
	Endpoint       string
	InputFile      string
	InputHash      uint64
	Metadata       map[string]string
	Created        time.Time
	Deadline       time.Time
	Status         Status
	// Accepted and Ended are offsets in ControlStream; Ended is NoOffset
	// while the job is in progress.
	Accepted, Ended protocol.Offset
	// EndedAt is the time of the end in Unix seconds, by the clock of the
	// instance that ended the job. It is displayed, and the retention of results
	// counts from it.
	EndedAt int64
	// Total counts the items, Completed those that succeeded and Failed those
	// that failed.
	Total, Completed, Failed int
	// Chunks is the number of chunks.
	Chunks int
}

func (j *job) view() JobView {
	view := j.viewWithoutMetadata()
	view.Metadata = maps.Clone(j.metadata)
	return view
}

func (j *job) viewWithoutMetadata() JobView {
	return JobView{
		ID:             j.id,
		Organisation:   j.organisation,
		IdempotencyKey: j.idempotencyKey,
		Endpoint:       j.endpoint,
		InputFile:      j.inputFile,
		InputHash:      j.inputHash,
		Created:        j.created,
		Deadline:       j.deadline,
		Status:         j.status,
		Accepted:       j.accepted,
		Ended:          j.ended,
		EndedAt:        j.endedAt,
		Total:          j.total,
		Completed:      j.done - j.failed,
		Failed:         j.failed,
		Chunks:         len(j.chunks),
	}
}

// Job returns a job by its id.
func (l *Ledger) Job(id protocol.JobID) (JobView, bool) {
	j, ok := l.jobs[id]
	if !ok {
		return JobView{}, false
	}
	return j.view(), true
}

// JobByIdempotencyKey returns the job that was accepted under an organisation's
// idempotency key.
func (l *Ledger) JobByIdempotencyKey(org protocol.OrganisationID, key string) (JobView, bool) {
	id, ok := l.byIdempotencyKey[submitKey{org, key}]
	if !ok {
		return JobView{}, false
	}
	return l.Job(id)
}

// Jobs lists the jobs of an organisation, the newest first.
func (l *Ledger) Jobs(org protocol.OrganisationID) []JobView {
	var views []JobView
	for _, j := range l.jobs {
		if j.organisation == org {
			views = append(views, j.view())
		}
	}
	slices.SortFunc(views, func(a, b JobView) int { return cmp.Compare(b.Accepted, a.Accepted) })
	return views
}

// Running lists the jobs that have not ended, the oldest first. It leaves out
// their metadata because it is called often.
func (l *Ledger) Running() []JobView { return sortedViews(l.running) }

// CountRunning counts the jobs of an organisation that have not ended.
func (l *Ledger) CountRunning(org protocol.OrganisationID) int {
	count := 0
	for _, j := range l.running {
		if j.organisation == org {
			count++
		}
	}
	return count
}

// All lists all jobs, the oldest first, without their metadata.
func (l *Ledger) All() []JobView { return sortedViews(l.jobs) }

func sortedViews(jobs map[protocol.JobID]*job) []JobView {
	views := make([]JobView, 0, len(jobs))
	for _, j := range jobs {
		views = append(views, j.viewWithoutMetadata())
	}
	slices.SortFunc(views, func(a, b JobView) int { return cmp.Compare(a.Accepted, b.Accepted) })
	return views
}

// Claimable lists at most limit chunks of a job that a session may claim. It
// examines count chunks, starting at chunk number from and wrapping around.
// Chunks held by ended sessions come first.
func (l *Ledger) Claimable(id protocol.JobID, sessions state.Sessions, from, count, limit int) []int {
	j, ok := l.running[id]
	if !ok {
		return nil
	}
	// Chunks of ended sessions come first because they have waited longest.
	numbers := j.claimable(sessions, from, count, limit, true)
	return append(numbers, j.claimable(sessions, from, count, limit-len(numbers), false)...)
}

// claimable lists the claimable chunks that an ended session holds if orphans is
// true, else those that no session holds.
func (j *job) claimable(sessions state.Sessions, from, count, limit int, orphans bool) (numbers []int) {
	for i := range min(count, len(j.chunks)) {
		if len(numbers) >= limit {
			break
		}
		number := (from + i) % len(j.chunks)
		c := &j.chunks[number]
		if (c.holder != 0) == orphans && c.claimable(sessions) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// ChunkID identifies a chunk of a job.
type ChunkID struct {
	Job   protocol.JobID
	Chunk int
}

// HeldBy lists the chunks that a session holds, sorted by job and chunk number.
func (l *Ledger) HeldBy(session protocol.SessionID) []ChunkID {
	var held []ChunkID
	for _, j := range l.running {
		for number := range j.chunks {
			if j.chunks[number].holder == session {
				held = append(held, ChunkID{j.id, number})
			}
		}
	}
	slices.SortFunc(held, compareChunkID)
	return held
}

func compareChunkID(a, b ChunkID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Chunk, b.Chunk))
}

// ChunkView is a copy of the state of a chunk.
type ChunkView struct {
	// Input locates the items in DataStream.
	Input protocol.ChunkRef
	// Holder is the session that claimed the chunk, or 0 if there is none. The
	// session may have ended.
	Holder protocol.SessionID
	// Finished marks the items that have a result.
	Finished Bitmap
	// Segments lists the entries with accepted results in stream order.
	Segments []Segment
}

// Chunk returns a chunk of a job.
func (l *Ledger) Chunk(id ChunkID) (ChunkView, bool) {
	j, ok := l.jobs[id.Job]
	if !ok {
		return ChunkView{}, false
	}
	c := j.chunk(id.Chunk)
	if c == nil {
		return ChunkView{}, false
	}
	return ChunkView{
		Input:    protocol.ChunkRef{Offset: c.input, Items: int(c.items), First: int(c.firstItem)},
		Holder:   c.holder,
		Finished: c.finished(),
		Segments: c.segments(),
	}, true
}

// ResultSegments lists the entries that hold the accepted results of a chunk.
func (l *Ledger) ResultSegments(id protocol.JobID, number int) []Segment {
	view, _ := l.Chunk(ChunkID{id, number})
	return view.Segments
}

// DataRef is a reference from a chunk to an entry of DataStream.
type DataRef struct {
	ChunkID
	Offset protocol.Offset
}

// DataBefore lists the entries of DataStream at offsets below a limit that a job
// still needs: all results, and the input of chunks in which an item has no
// result.
func (l *Ledger) DataBefore(id protocol.JobID, limit protocol.Offset) []DataRef {
	j, ok := l.jobs[id]
	if !ok {
		return nil
	}
	var refs []DataRef
	for number := range j.chunks {
		c := &j.chunks[number]
		name := ChunkID{id, number}
		if !c.complete() && c.input < limit {
			refs = append(refs, DataRef{name, c.input})
		}
		for _, segment := range c.segments() {
			if segment.Data < limit {
				refs = append(refs, DataRef{name, segment.Data})
			}
		}
	}
	return refs
}
