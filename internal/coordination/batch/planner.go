package batch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// Candidate is a running job as the planner sees it.
type Candidate struct {
	Job          protocol.JobID
	Organisation protocol.OrganisationID
	// Weight is the organisation's fair share; 0 means 1.
	Weight   float64
	Deadline time.Time
	// Remaining counts the items without a result, Items all, and Chunks the
	// chunks they stand in.
	Remaining, Items, Chunks int
}

// chunkItems is the usual number of items of a chunk.
func (c *Candidate) chunkItems() int {
	return max(1, ceilDivide(c.Items, max(1, c.Chunks)))
}

// PlanInput is what a plan depends on.
type PlanInput struct {
	Now  time.Time
	Jobs []Candidate
	// HeldBy counts the items that this instance holds of each organisation.
	HeldBy map[protocol.OrganisationID]int
	// Want is the number of items that this instance is to take, rounded up to
	// whole chunks.
	Want int
	// NeedyOnly leaves out jobs that have time to spare and whose organisation
	// holds something here: there is enough work at hand without them.
	NeedyOnly bool
	// Instances counts the open sessions, and Index is the place of the own one
	// among them.
	Instances, Index int
	// Steal takes any chunk, and not just those that fall to this instance.
	Steal bool
	// Claimable lists chunks of a job that may be taken, at most limit, among
	// count chunks from a number on, going round.
	Claimable func(job protocol.JobID, from, count, limit int) []int
}

// ClaimPlan is one claim to make.
type ClaimPlan struct {
	Job    protocol.JobID
	Chunks []int
}

// Planner decides which chunks to claim. It is pure.
type Planner struct {
	// UrgentLaxity and ItemTime are as in Options.
	UrgentLaxity, ItemTime time.Duration
}

// laxity is the spare time of a job: what is left to its deadline when its
// items have run, a chunk at a time on every instance.
func (p Planner) laxity(c *Candidate, in *PlanInput) time.Duration {
	lanes := max(1, min(c.Chunks, in.Instances)) * lanesPerChunk
	work := time.Duration(c.Remaining) * p.ItemTime / time.Duration(lanes)
	return c.Deadline.Sub(in.Now) - work
}

// lanesPerChunk is the number of items of a chunk assumed to run at a time.
const lanesPerChunk = 8

// Plan chooses claims until there is enough. Jobs short of time come
// first; otherwise the organisation with the fewest items for its weight is
// served, so that one that sends many jobs does not displace the rest. Within
// an organisation the job with the least spare time goes first.
func (p Planner) Plan(in PlanInput) []ClaimPlan {
	jobs := p.order(&in)
	held := make(map[protocol.OrganisationID]float64, len(in.HeldBy))
	for org, count := range in.HeldBy {
		held[org] = float64(count)
	}
	var plans []ClaimPlan
	want := in.Want
	for want > 0 && len(jobs) > 0 {
		next := pickJob(jobs, held)
		job := jobs[next]
		from, count := in.span(job)
		chunks := in.Claimable(job.Job, from, count, in.share(job, want))
		jobs = slices.Delete(jobs, next, next+1)
		if len(chunks) == 0 {
			continue
		}
		plans = append(plans, ClaimPlan{Job: job.Job, Chunks: chunks})
		items := len(chunks) * job.chunkItems()
		held[job.Organisation] += float64(items) / weightOf(job.Weight)
		want -= items
	}
	return plans
}

type rankedJob struct {
	*Candidate
	laxity time.Duration
	urgent bool
}

func (p Planner) order(in *PlanInput) []rankedJob {
	jobs := make([]rankedJob, 0, len(in.Jobs))
	for i := range in.Jobs {
		c := &in.Jobs[i]
		laxity := p.laxity(c, in)
		urgent := laxity < p.UrgentLaxity
		if urgent || !in.NeedyOnly || in.HeldBy[c.Organisation] == 0 {
			jobs = append(jobs, rankedJob{Candidate: c, laxity: laxity, urgent: urgent})
		}
	}
	slices.SortFunc(jobs, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(a.laxity, b.laxity), cmp.Compare(a.Job, b.Job))
	})
	return jobs
}

// pickJob finds the first job, in order of spare time, of the organisation
// that holds least, among the urgent jobs if there are any.
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

// weightOf is the fair share that a configured weight stands for.
func weightOf(configured float64) float64 {
	if configured <= 0 {
		return 1
	}
	return configured
}

// span is the range of chunks of a job that this instance looks at. Each chunk
// falls to one instance, so that they do not all reach for the same and lose
// their claims to each other; every lost claim is an append for nothing. Who has
// nothing of its own steals, from a place of its own.
func (in *PlanInput) span(job rankedJob) (from, count int) {
	hash := xxhash.Sum64String(string(job.Job))
	if in.Steal || in.Instances < 1 || job.Chunks == 0 {
		own := xxhash.Sum64String(string(job.Job) + "/" + strconv.Itoa(in.Index))
		return int(own % uint64(max(1, job.Chunks))), job.Chunks
	}
	slot := (in.Index + int(hash%uint64(in.Instances))) % in.Instances
	from = ceilDivide(slot*job.Chunks, in.Instances)
	return from, ceilDivide((slot+1)*job.Chunks, in.Instances) - from
}

func ceilDivide(a, b int) int { return (a + b - 1) / b }

// share bounds one claim, in chunks: to what is wanted, and to an equal part of
// what is left of the job. Towards its end claims shrink, so that the last
// chunks do not all wait behind each other at one instance.
func (in *PlanInput) share(job rankedJob, want int) int {
	left := ceilDivide(job.Remaining, job.chunkItems())
	equal := ceilDivide(left, max(1, in.Instances))
	return max(1, min(ceilDivide(want, job.chunkItems()), equal))
}
