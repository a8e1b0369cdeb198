package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

const silentAfter = 500 * time.Millisecond

// member is an instance of a fleet that is played in steps.
type member struct {
	*Ledger
	name  string
	start int64
	// side tells apart who hears whom.
	side int
}

// fleet plays instances that tell each other their counts every 100 ms.
type fleet struct {
	t       *testing.T
	now     time.Time
	limits  map[string]Limit
	members []*member
	starts  int64
	// admitted are the times at which requests were let in.
	admitted []time.Time
	refused  int
}

func newFleet(t *testing.T, size int, limit Limit) *fleet {
	f := &fleet{t: t, now: start, limits: map[string]Limit{"o": limit}}
	for i := range size {
		f.members = append(f.members, f.fresh(fmt.Sprint("n", i)))
	}
	f.tell()
	return f
}

// fresh is an instance that has just started and knows who is there.
func (f *fleet) fresh(name string) *member {
	f.starts++
	m := &member{Ledger: New(f.now), name: name, start: f.starts}
	m.SetLimits(f.now, f.limits)
	for _, other := range f.members {
		if other.name != name {
			m.AddPeer(f.now, other.name)
		}
	}
	return m
}

func (f *fleet) tell() {
	for _, from := range f.members {
		for _, to := range f.members {
			if from != to && from.side == to.side {
				to.ApplyReport(f.now, Report{
					Instance: from.name, Start: from.start, Uptime: f.now.Sub(from.began), Counts: from.AdmittedCounts(), Full: true,
					HasQuotaState: from.BucketLevels(f.now) != nil, Levels: from.BucketLevels(f.now), SilenceTimeout: silentAfter,
				})
			}
		}
	}
}

// play lets so many requests a second come to random instances for a while.
func (f *fleet) play(random *rand.Rand, perSecond float64, d time.Duration) {
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		f.now = f.now.Add(step)
		if elapsed%(100*time.Millisecond) == 0 {
			f.tell()
		}
		for due := perSecond * step.Seconds(); random.Float64() < due; due-- {
			m := f.members[random.IntN(len(f.members))]
			if m.Admit(f.now, "o").Admitted {
				f.admitted = append(f.admitted, f.now)
			} else {
				f.refused++
			}
		}
	}
}

// most is the largest number let in within any window.
func (f *fleet) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is what users bear within five seconds: a tenth and twenty above the
// rate and the burst.
func allowed(l Limit) int { return int((5*l.Rate+l.Burst)*1.1 + 20) }

func TestNothingIsRefusedBelowTheRate(t *testing.T) {
	f := newFleet(t, 9, Limit{Rate: 20, Burst: 20})
	f.play(rand.New(rand.NewPCG(1, 1)), 17, 30*time.Second)
	require.Zero(t, f.refused)
}

// One organisation sends several times its rate. What is let in over all
// instances stays within what users bear, and is not much less than the rate.
func TestRateHoldsOverAllInstances(t *testing.T) {
	for _, limit := range []Limit{{Rate: 8, Burst: 8}, {Rate: 35, Burst: 35}} {
		f := newFleet(t, 12, limit)
		f.play(rand.New(rand.NewPCG(1, 2)), 7*limit.Rate, 20*time.Second)
		require.LessOrEqual(t, f.most(5*time.Second), allowed(limit))
		require.Greater(t, float64(len(f.admitted)), 0.95*20*limit.Rate)
	}
}

// The fleet is cut in two, or every instance from all others, while the
// organisation sends several times its rate. All sides go on serving, and their
// sum stays within what users bear.
func TestRateHoldsWhileInstancesAreCutOff(t *testing.T) {
	for _, sides := range []int{2, 9} {
		for _, limit := range []Limit{{Rate: 8, Burst: 8}, {Rate: 35, Burst: 35}} {
			f := newFleet(t, 9, limit)
			random := rand.New(rand.NewPCG(1, 3))
			f.play(random, 5*limit.Rate, 3*time.Second)
			for i, m := range f.members {
				m.side = i % sides
			}
			before := len(f.admitted)
			f.play(random, 5*limit.Rate, 10*time.Second)
			require.LessOrEqual(t, f.most(5*time.Second), allowed(limit), "%d sides", sides)
			require.Greater(t, float64(len(f.admitted)-before), 0.8*10*limit.Rate, "%d sides", sides)
			for _, m := range f.members {
				m.side = 0
			}
			f.play(random, 5*limit.Rate, 5*time.Second)
			require.LessOrEqual(t, f.most(5*time.Second), allowed(limit), "%d sides", sides)
		}
	}
}

// An organisation begins to send several times its rate to a fleet that has been there
// for a while, and uses its burst up. Then instances are cut off from each other. Until
// they notice it, each of them uses the whole rate. If none paid for that later, nine
// instances would let in some eighty requests too many.
func TestTimeUntilACutIsNoticedIsPaidFor(t *testing.T) {
	small, large := Limit{Rate: 35, Burst: 35}, Limit{Rate: 100, Burst: 100}
	for _, c := range []struct {
		sides int
		limit Limit
	}{{2, small}, {3, small}, {9, small}, {2, large}, {3, large}} {
		f := newFleet(t, 9, c.limit)
		random := rand.New(rand.NewPCG(1, 8))
		f.play(random, 0.3*c.limit.Rate, 3*time.Second)
		f.play(random, 5*c.limit.Rate, 3*time.Second)
		for i, m := range f.members {
			m.side = i % c.sides
		}
		before := len(f.admitted)
		f.play(random, 5*c.limit.Rate, 10*time.Second)
		require.LessOrEqual(t, f.most(5*time.Second), allowed(c.limit), "%v", c)
		require.Greater(t, float64(len(f.admitted)-before), 0.8*10*c.limit.Rate, "%v", c)
	}
}

// Instances are restarted one after the other, as in a release. Each new one hears
// of everything that the others let in since their own starts. Taking that for
// news, it would refuse every caller for many seconds, though all are inside their
// rates.
func TestRestartedInstanceRefusesNobodyInsideTheRate(t *testing.T) {
	f := newFleet(t, 9, Limit{Rate: 20, Burst: 20})
	random := rand.New(rand.NewPCG(1, 4))
	f.play(random, 14, 60*time.Second)
	for i, old := range f.members {
		f.members[i] = f.fresh(old.name)
		for _, m := range f.members {
			if m.name != old.name {
				m.MarkDown(old.name)
			}
		}
		f.tell()
		f.play(random, 14, 2*time.Second)
	}
	require.Zero(t, f.refused)
}

// The same while the organisation sends several times its rate: each new instance
// that began with a full bucket would let in a burst of its own.
func TestRestartedInstancesBringNoBurstOfTheirOwn(t *testing.T) {
	limit := Limit{Rate: 35, Burst: 35}
	f := newFleet(t, 9, limit)
	random := rand.New(rand.NewPCG(1, 5))
	f.play(random, 5*limit.Rate, 5*time.Second)
	for i, old := range f.members {
		f.members[i] = f.fresh(old.name)
		for _, m := range f.members {
			if m.name != old.name {
				m.MarkDown(old.name)
			}
		}
		f.play(random, 5*limit.Rate, 500*time.Millisecond)
	}
	require.LessOrEqual(t, f.most(5*time.Second), allowed(limit))
}

// The whole fleet loses its power and starts anew.
func TestFleetThatStartsAnewServesAtOnce(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	f := newFleet(t, 9, limit)
	random := rand.New(rand.NewPCG(1, 6))
	f.play(random, 60, 5*time.Second)
	for i, old := range f.members {
		f.members[i] = f.fresh(old.name)
	}
	for _, m := range f.members {
		for _, other := range f.members {
			if m != other {
				m.AddPeer(f.now, other.name)
			}
		}
	}
	refused := f.refused
	f.play(random, 12, 10*time.Second)
	require.Equal(t, refused, f.refused)
}

func TestLowerLimitCutsTheBucket(t *testing.T) {
	f := newFleet(t, 1, Limit{Rate: 20, Burst: 20})
	m := f.members[0]
	m.SetLimits(f.now, map[string]Limit{"o": {Rate: 2, Burst: 3}})
	for range 3 {
		require.True(t, m.Admit(f.now, "o").Admitted)
	}
	d := m.Admit(f.now, "o")
	require.False(t, d.Admitted)
	require.Equal(t, 500*time.Millisecond, d.Wait)
	m.Refund("o")
	require.True(t, m.Admit(f.now, "o").Admitted)
	require.True(t, m.Admit(f.now, "unknown").Admitted)
}

// An instance starts and hears of another one that has been there for long. The
// first messages have only the counts that changed; taken for all that was let
// in, the counts of the next whole message would look like a burst, and requests
// within the rate would be refused here.
func TestCountsOfOlderInstancesBeginWithAWholeReport(t *testing.T) {
	const org = "o"
	l := New(start)
	l.SetLimits(start, map[string]Limit{org: {Rate: 10, Burst: 10}})
	l.AddPeer(start, "old")
	report := func(counts Counts, whole bool) {
		l.ApplyReport(start, Report{
			Instance: "old", Start: 1, Uptime: time.Hour, Counts: counts, Full: whole,
			HasQuotaState: true, Levels: BucketLevels{}, SilenceTimeout: silentAfter,
		})
	}
	report(Counts{}, false)
	report(Counts{org: 5000}, false)
	report(Counts{org: 5000}, true)
	require.True(t, l.Admit(start, org).Admitted)
	before := l.BucketLevels(start)[org]
	report(Counts{org: 5003}, false)
	require.InDelta(t, before-3, l.BucketLevels(start)[org], 0.01)
}

// An instance loses its power for good. Nobody hears of that, and if its part of the
// rates were left to it, organisations that send more than their rate would get a
// ninth less than it. If it is only cut off and serves on, the sum must still stay
// within what users bear.
func TestOneSilentInstanceTakesNothingWithIt(t *testing.T) {
	for _, alive := range []bool{false, true} {
		for _, limit := range []Limit{{Rate: 14, Burst: 14}, {Rate: 60, Burst: 60}} {
			f := newFleet(t, 9, limit)
			random := rand.New(rand.NewPCG(1, 7))
			f.play(random, 5*limit.Rate, 3*time.Second)
			f.members[8].side = 1
			if !alive {
				f.members = f.members[:8]
			}
			f.play(random, 5*limit.Rate, time.Second)
			before := len(f.admitted)
			f.play(random, 5*limit.Rate, 10*time.Second)
			require.LessOrEqual(t, f.most(5*time.Second), allowed(limit), "alive: %t", alive)
			require.Greater(t, float64(len(f.admitted)-before), 0.97*10*limit.Rate, "alive: %t", alive)
		}
	}
}

// Wall clocks of instances differ by seconds. One that has let requests in for an hour has
// a start that looks later than that of one which has just begun; what it let in before
// must not be taken for news, or the new one refuses everybody for minutes.
func TestClockAheadDoesNotMakeOldRequestsNews(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 10, Burst: 10}})
	l.ApplyReport(start, Report{
		Instance: "ahead", Start: start.Add(time.Minute).UnixMilli(), Uptime: time.Hour,
		Counts: Counts{"o": 30_000}, Full: true, HasQuotaState: true, Levels: BucketLevels{}, SilenceTimeout: silentAfter,
	})
	require.True(t, l.Admit(start, "o").Admitted)
}

// An instance is heard of through others only, which tell now and then that it lives. Its
// part of the rates must not be left to it as if it were cut off, and must be once it is.
func TestInstanceThatOthersVouchForIsNotSilent(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 10, Burst: 10}})
	l.ApplyReport(start, Report{Instance: "far", Start: 1, HasQuotaState: true, Levels: BucketLevels{}, Full: true, SilenceTimeout: silentAfter})
	now := start
	for range 10 {
		now = now.Add(silentAfter)
		l.ConfirmAlive(now, []Liveness{{Instance: "far", Start: 1, At: now.Add(-silentAfter / 2)}})
		require.InDelta(t, 1, l.Admit(now, "o").Share, 0)
	}
	l.ConfirmAlive(now.Add(silentAfter), []Liveness{{Instance: "far", Start: 0, At: now.Add(silentAfter)}})
	require.InDelta(t, 0.5, l.Admit(now.Add(silentAfter), "o").Share, 0.01)
}

// A failure domain is cut off for some seconds while an organisation stays below its rate,
// most of it at the others. Until the cut is noticed its bucket is full here and takes in
// nothing more. Once the others are heard again, what they let in in that time must not
// count against the organisation twice: its callers here would be refused for a second.
func TestEndOfACutRefusesNobodyBelowTheRate(t *testing.T) {
	const peers, patience = 9, 1250 * time.Millisecond
	limit := Limit{Rate: 40, Burst: 40}
	l, now := New(start), start
	l.SetLimits(now, map[string]Limit{"o": limit})
	report := func(count int64) {
		for i := range peers {
			l.ApplyReport(now, Report{
				Instance: fmt.Sprint("n", i), Start: 1, Counts: Counts{"o": count}, Full: true,
				HasQuotaState: true, Levels: BucketLevels{}, SilenceTimeout: patience,
			})
		}
	}
	report(0)
	const cut, step = 6 * time.Second, 250 * time.Millisecond
	for now.Before(start.Add(cut)) {
		now = now.Add(step)
		require.True(t, l.Admit(now, "o").Admitted)
	}
	report(int64(0.75 * limit.Rate * cut.Seconds() / peers))
	require.True(t, l.Admit(now, "o").Admitted)
}
