package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

var (
	noon        = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	testPlanner = Planner{UrgentLaxity: 10 * time.Minute, ItemTime: 10 * time.Second}
)

func candidate(job, org string, chunks int, due time.Duration) Candidate {
	return Candidate{
		Job:          protocol.JobID(job),
		Organisation: protocol.OrganisationID(org),
		Deadline:     noon.Add(due),
		Remaining:    chunks * protocol.MaxChunkItems,
		Items:        chunks * protocol.MaxChunkItems,
		Chunks:       chunks,
	}
}

// allClaimable returns a PlanInput.Claimable for which every chunk is claimable.
func allClaimable(jobs []Candidate) func(protocol.JobID, int, int, int) []int {
	return func(id protocol.JobID, from, count, limit int) []int {
		var numbers []int
		for _, job := range jobs {
			if job.Job != id {
				continue
			}
			for i := range min(limit, count, job.Chunks) {
				numbers = append(numbers, (from+i)%job.Chunks)
			}
		}
		return numbers
	}
}

func input(jobs ...Candidate) PlanInput {
	return PlanInput{Now: noon, Jobs: jobs, WantItems: 1, Instances: 1, Steal: true, Claimable: allClaimable(jobs)}
}

// Of two jobs, the one with less laxity comes first. This can be the one with the
// later deadline if it is much larger.
func TestLeastLaxityGoesFirst(t *testing.T) {
	plans := testPlanner.Plan(input(candidate("late", "a", 1, 9*time.Hour), candidate("soon", "a", 1, 8*time.Hour)))
	require.EqualValues(t, "soon", plans[0].Job)
	plans = testPlanner.Plan(input(candidate("large", "a", 100, 9*time.Hour), candidate("small", "a", 1, 8*time.Hour)))
	require.EqualValues(t, "large", plans[0].Job)
}

// The instance already holds chunks of one organisation. The job of another
// organisation comes first although its deadline is later.
func TestOrganisationThatHoldsLessGoesFirst(t *testing.T) {
	in := input(candidate("one", "a", 9, 5*time.Hour), candidate("two", "b", 1, 9*time.Hour))
	in.HeldItems = map[protocol.OrganisationID]int{"a": 200}
	require.EqualValues(t, "two", testPlanner.Plan(in)[0].Job)
}

// A job may soon miss its deadline. It takes precedence over fairness between
// organisations.
func TestUrgentJobGoesFirst(t *testing.T) {
	in := input(candidate("urgent", "a", 1, 11*time.Minute), candidate("two", "b", 1, 9*time.Hour))
	in.HeldItems = map[protocol.OrganisationID]int{"a": 500}
	require.EqualValues(t, "urgent", testPlanner.Plan(in)[0].Job)
}

// For any jobs, a plan claims no more chunks than wanted, no chunk twice, and at
// least one chunk if any is wanted and claimable.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []Candidate
		total := 0
		for i := range rapid.IntRange(0, 8).Draw(t, "jobs") {
			org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
			chunks := rapid.IntRange(1, 20).Draw(t, "chunks")
			due := time.Duration(rapid.IntRange(1, 100_000).Draw(t, "due")) * time.Second
			jobs = append(jobs, candidate(fmt.Sprint(i), org, chunks, due))
			total += chunks
		}
		in := input(jobs...)
		in.WantItems = rapid.IntRange(0, 3000).Draw(t, "want")
		in.Instances = rapid.IntRange(0, 12).Draw(t, "instances")
		in.Index = rapid.IntRange(0, 12).Draw(t, "index")
		claimed := 0
		seen := map[string]bool{}
		for _, plan := range testPlanner.Plan(in) {
			for _, number := range plan.Chunks {
				name := fmt.Sprint(plan.Job, "/", number)
				require.False(t, seen[name])
				seen[name] = true
				claimed++
			}
		}
		require.LessOrEqual(t, claimed, ceilDiv(in.WantItems, protocol.MaxChunkItems))
		require.Equal(t, in.WantItems > 0 && total > 0, claimed > 0)
	})
}

// Towards the end of a job one instance must not claim all remaining chunks, or the
// others would be idle while it runs them.
func TestLastChunksAreShared(t *testing.T) {
	in := input(candidate("one", "a", 8, time.Hour))
	in.WantItems = 8 * protocol.MaxChunkItems
	for instances, chunks := range map[int]int{1: 8, 4: 2, 5: 2, 8: 1, 12: 1} {
		in.Instances = instances
		require.Len(t, testPlanner.Plan(in)[0].Chunks, chunks)
	}
}

// Every chunk of a job is assigned to exactly one instance. A chunk assigned to none
// would wait until an instance steals it. A chunk assigned to two would cause
// rejected claims.
func TestEveryChunkIsAssignedToOneInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := candidate(rapid.String().Draw(t, "job"), "a", rapid.IntRange(1, 300).Draw(t, "chunks"), time.Hour)
		in := input(job)
		in.Steal = false
		in.Instances = rapid.IntRange(1, 340).Draw(t, "instances")
		owners := make([]int, job.Chunks)
		for in.Index = range in.Instances {
			from, count := in.chunkRange(rankedJob{Candidate: &job})
			for number := range count {
				owners[from+number]++
			}
		}
		for number, count := range owners {
			require.Equal(t, 1, count, "chunk %d", number)
		}
	})
}

// An instance holds enough work, all of one organisation. It must still claim a
// chunk of another organisation, or that one would wait until the instance runs
// low on work.
func TestOrganisationWithoutHeldItemsIsServedAtOnce(t *testing.T) {
	in := input(candidate("one", "a", 9, 5*time.Hour), candidate("two", "b", 1, 9*time.Hour))
	in.UrgentOrUnservedOnly = true
	in.HeldItems = map[protocol.OrganisationID]int{"a": 500}
	require.EqualValues(t, "two", testPlanner.Plan(in)[0].Job)
	in.HeldItems["b"] = 1
	require.Empty(t, testPlanner.Plan(in))
}
