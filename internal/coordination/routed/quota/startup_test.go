package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Of the decisions before the waits depended on what the others have reported.
const (
	previousWait       = time.Second
	previousRetryAfter = 200 * time.Millisecond
)

// startedBuckets returns the buckets of an instance that has just started and knows the limits and
// the other instances: some have reported that they know the levels, or that they don't, and the
// silent ones have not reported anything.
func startedBuckets(know, unaware, silent int) *Buckets {
	b := NewBuckets(start, "own")
	b.SetLimits(start, map[string]Limit{"o": {Rate: 4, Burst: 4}})
	for n := range know + unaware + silent {
		b.AddPeer(start, fmt.Sprint("n", n))
	}
	b.SetFleetKnown(start)
	for n := range know + unaware {
		// Instances that know the levels may not have sent them yet.
		b.ApplyReport(start, Report{Instance: fmt.Sprint("n", n), Start: 1, Full: true, HasQuotaState: n < know, SilenceTimeout: 10 * time.Second})
	}
	return b
}

// waitOf returns the time after the start at which the buckets begin without levels.
func waitOf(b *Buckets) time.Duration {
	const step = 5 * time.Millisecond
	wait := time.Duration(0)
	for b.BucketLevels(start.Add(wait)) == nil {
		wait += step
	}
	return wait
}

// Guards against a start of the whole fleet that gives up instances that may know the levels too
// early, and against one that waits though none can.
func TestStartWaitsForInstancesThatMayKnowTheLevels(t *testing.T) {
	for _, c := range []struct {
		know, unaware, silent int
		wait                  time.Duration
	}{
		{0, 68, 0, 0},
		{0, 67, 1, previousWait},
		{0, 7, 1, previousWait},
		{0, 50, 18, previousWait},
		{0, 1, 1, previousWait},
		{0, 0, 8, previousWait},
		{1, 66, 1, previousWait},
		{1, 67, 0, previousWait},
	} {
		wait := waitOf(startedBuckets(c.know, c.unaware, c.silent))
		require.Equal(t, c.wait, wait, "%+v", c)
		require.LessOrEqual(t, wait, previousWait, "%+v", c)
	}
}

// Guards against an instance that begins without levels before it has the list of instances.
func TestStartWaitsForTheListOfInstances(t *testing.T) {
	b := NewBuckets(start, "own")
	b.SetLimits(start, map[string]Limit{"o": {Rate: 4, Burst: 4}})
	b.ApplyReport(start, Report{Instance: "n0", Start: 1, Full: true, SilenceTimeout: 10 * time.Second})
	require.Equal(t, fleetWaitTimeout+stateWaitTimeout, waitOf(b))
}

// Guards against callers who are told to come back before the levels are known, so that their only
// second try is rejected too, and against all of them returning at one moment.
func TestRequestsBeforeTheLevelsReturnWhenTheyAreKnown(t *testing.T) {
	const requests = 1000
	for _, c := range []struct{ unaware, silent int }{{67, 1}, {50, 18}, {0, 68}} {
		early := 0
		before, now := 0, 0
		slots := map[time.Duration]int{}
		b := startedBuckets(0, c.unaware, c.silent)
		known := waitOf(startedBuckets(0, c.unaware, c.silent))
		for n := range requests {
			at := known * time.Duration(n) / requests
			d := b.Admit(start.Add(at), "o")
			if d.Admitted {
				continue
			}
			require.True(t, d.Early)
			require.LessOrEqual(t, d.Wait, maxEarlyRetryAfter)
			early++
			if at+d.Wait >= known {
				now++
			}
			if at+previousRetryAfter >= known {
				before++
			}
			slots[(at+d.Wait).Truncate(50*time.Millisecond)]++
		}
		require.Greater(t, early, requests/2)
		require.Equal(t, early, now, "%+v: all return when the levels are known", c)
		require.Less(t, before, early*6/10, "%+v: with the previous decision most returned too early", c)
		for at, count := range slots {
			require.Less(t, count, early/4, "%+v: at %s", c, at)
		}
	}
}

// Guards against a Retry-After that callers don't honour, or after which the levels have been known
// for long: the list of instances or the levels arrive with the next answer or message.
func TestRetryAfterAtTheStartIsBounded(t *testing.T) {
	list := NewBuckets(start, "own")
	list.SetLimits(start, map[string]Limit{"o": {Rate: 4, Burst: 4}})
	for name, c := range map[string]struct {
		buckets *Buckets
		least   time.Duration
	}{
		"no list":               {list, maxEarlyRetryAfter - earlyRetrySpread},
		"another one knows":     {startedBuckets(1, 67, 0), levelsMessageWait},
		"nobody has responded":  {startedBuckets(0, 0, 68), previousWait},
		"some have not, at all": {startedBuckets(0, 50, 18), previousWait},
	} {
		for range 100 {
			d := c.buckets.Admit(start, "o")
			if d.Admitted {
				continue
			}
			require.True(t, d.Early)
			require.LessOrEqual(t, d.Wait, maxEarlyRetryAfter, name)
			require.GreaterOrEqual(t, d.Wait, c.least, name)
			require.LessOrEqual(t, d.Wait, c.least+earlyRetrySpread, name)
		}
	}
}
