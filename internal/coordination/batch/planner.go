package batch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// Candidate is a running job whose chunks may be claimed.
type Candidate struct {
	Job          protocol.JobID
	Organisation protocol.OrganisationID
	// Weight is the weight of the organisation in fair sharing; 0 means 1.
	Weight   float64
	Deadline time.Time
	// Remaining is the number of items without a result, Items the number of all
	// items, and Chunks the number of chunks that contain them.
	Remaining, Items, Chunks int
}

// chunkItems is the average number of items in a chunk, rounded up.
func (c *Candidate) chunkItems() int {
	return max(1, ceilDiv(c.Items, max(1, c.Chunks)))
}

// PlanInput contains everything that a plan depends on.
type PlanInput struct {
	Now  time.Time
	Jobs []Candidate
	// HeldItems is the number of items of each organisation that this instance
	// holds.
	HeldItems map[protocol.OrganisationID]int
	// WantItems is the number of items to claim. Plan rounds it up to whole
	// chunks.
	WantItems int
	// UrgentOrUnservedOnly restricts the plan to urgent jobs and to organisations
	// of which this instance holds no items. It is set when the instance already
	// holds enough work.
	UrgentOrUnservedOnly bool
	// Instances is the number of open sessions, and Index the position of this
	// instance's session among them.
	Instances, Index int
	// Steal allows chunks that are assigned to other instances.
	Steal bool
	// Claimable returns at most limit claimable chunks of a job among the count
	// chunks that start at number from, wrapping around at the last chunk.
	Claimable func(job protocol.JobID, from, count, limit int) []int
}

// ClaimPlan is one claim to submit.
type ClaimPlan struct {
	Job    protocol.JobID
	Chunks []int
}

// Planner decides which chunks to claim. It has no state and no side effects.
type Planner struct {
	// UrgentLaxity and ItemTime are as in Options.
	UrgentLaxity, ItemTime time.Duration
}

// laxity is the spare time of a job: the time left before its deadline after all
// remaining items have run, with one chunk at a time on every instance.
func (p Planner) laxity(c *Candidate, in *PlanInput) time.Duration {
	parallel := max(1, min(c.Chunks, in.Instances)) * parallelItemsPerChunk
	work := time.Duration(c.Remaining) * p.ItemTime / time.Duration(parallel)
	return c.Deadline.Sub(in.Now) - work
}

// parallelItemsPerChunk is the assumed number of items of a chunk that run
// concurrently.
const parallelItemsPerChunk = 8

// Plan selects claims until they cover WantItems. Urgent jobs come first. Next
// comes the organisation with the fewest held items relative to its weight, so
// that an organisation with many jobs does not displace the others. Within an
// organisation the job with the least laxity comes first.
func (p Planner) Plan(in PlanInput) []ClaimPlan {
	jobs := p.sortedJobs(&in)
	held := make(map[protocol.OrganisationID]float64, len(in.HeldItems))
	for org, count := range in.HeldItems {
		held[org] = float64(count)
	}
	var plans []ClaimPlan
	want := in.WantItems
	for want > 0 && len(jobs) > 0 {
		next := pickJob(jobs, held)
		job := jobs[next]
		from, count := in.chunkRange(job)
		chunks := in.Claimable(job.Job, from, count, in.claimLimit(job, want))
		jobs = slices.Delete(jobs, next, next+1)
		if len(chunks) == 0 {
			continue
		}
		plans = append(plans, ClaimPlan{Job: job.Job, Chunks: chunks})
		items := len(chunks) * job.chunkItems()
		held[job.Organisation] += float64(items) / effectiveWeight(job.Weight)
		want -= items
	}
	return plans
}

// rankedJob is a job with the properties that determine its priority.
type rankedJob struct {
	*Candidate
	laxity time.Duration
	urgent bool
}

// sortedJobs returns the jobs that the plan may use, in order of laxity.
func (p Planner) sortedJobs(in *PlanInput) []rankedJob {
	jobs := make([]rankedJob, 0, len(in.Jobs))
	for i := range in.Jobs {
		c := &in.Jobs[i]
		laxity := p.laxity(c, in)
		urgent := laxity < p.UrgentLaxity
		if urgent || !in.UrgentOrUnservedOnly || in.HeldItems[c.Organisation] == 0 {
			jobs = append(jobs, rankedJob{Candidate: c, laxity: laxity, urgent: urgent})
		}
	}
	slices.SortFunc(jobs, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(a.laxity, b.laxity), cmp.Compare(a.Job, b.Job))
	})
	return jobs
}

// pickJob returns the index of the job to claim from next. It considers only the
// urgent jobs if there are any. Among these it picks the organisation with the
// fewest held items, and its job with the least laxity.
func pickJob(jobs []rankedJob, held map[protocol.OrganisationID]float64) int {
	best := 0
	for i := range jobs {
		if jobs[i].urgent != jobs[best].urgent {
			if jobs[i].urgent {
				best = i
			}
			continue
		}
		if held[jobs[i].Organisation] < held[jobs[best].Organisation] {
			best = i
		}
	}
	return best
}

// effectiveWeight returns the configured weight, or 1 if none is configured.
func effectiveWeight(configured float64) float64 {
	if configured <= 0 {
		return 1
	}
	return configured
}

// chunkRange is the range of chunks of a job that this instance considers. Each
// chunk is assigned to one instance. Otherwise all instances would claim the
// same chunks, and every rejected claim is a wasted append. An instance that
// steals considers all chunks and starts at a position of its own.
func (in *PlanInput) chunkRange(job rankedJob) (from, count int) {
	hash := xxhash.Sum64String(string(job.Job))
	if in.Steal || in.Instances < 1 || job.Chunks == 0 {
		start := xxhash.Sum64String(string(job.Job) + "/" + strconv.Itoa(in.Index))
		return int(start % uint64(max(1, job.Chunks))), job.Chunks
	}
	position := (in.Index + int(hash%uint64(in.Instances))) % in.Instances
	from = ceilDiv(position*job.Chunks, in.Instances)
	return from, ceilDiv((position+1)*job.Chunks, in.Instances) - from
}

// ceilDiv returns a/b, rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }

// claimLimit is the maximum number of chunks in one claim: enough for the wanted
// items, but no more than an equal share of the remaining chunks of the job.
// Claims therefore shrink towards the end of a job, so that its last chunks do
// not all queue on one instance.
func (in *PlanInput) claimLimit(job rankedJob, want int) int {
	left := ceilDiv(job.Remaining, job.chunkItems())
	equal := ceilDiv(left, max(1, in.Instances))
	return max(1, min(ceilDiv(want, job.chunkItems()), equal))
}
