package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
)

// endUnder records the end of a target under a request, after some events of the run.
func endUnder(e *Evidence, now time.Time, key, target string, events int) {
	e.TargetEnded(now, &LostRequest{Request: Request{ID: key, Key: key}, Target: target, At: now, Events: events, Position: events}, EndSuspected)
}

// closedRequests evaluates the evidence and returns the closed requests.
func closedRequests(e *Evidence, now time.Time) (out []string) {
	e.closeRequests(now)
	return closedKeys(e, now)
}

// Guards against a request that goes on after three targets ended under it, and against one that is
// closed after two.
func TestRequestIsClosedAfterThreeEnds(t *testing.T) {
	for name, events := range map[string][]int{
		"before the first event": {0, 0, 0}, "at one event": {4, 4, 4}, "at different events": {9, 2, 5},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence("a")
			for n, count := range events {
				require.Empty(t, closedRequests(e, at(time.Duration(n)*second)))
				endUnder(e, at(time.Duration(n)*second), "request:1", fmt.Sprint("t-", n), count)
			}
			now := at(3 * second)
			require.Equal(t, []string{"request:1"}, closedRequests(e, now))
			require.True(t, e.Check(now, []string{"p", "request:1"}).Closed)
			require.False(t, e.Check(now, []string{"p", "request:2"}).Closed)
		})
	}
}

// Guards against a request that is closed although its targets run on, or that targets complete.
func TestDismissedAndAcquittedEndsDontCount(t *testing.T) {
	e := NewEvidence("a")
	for n := range 2 {
		endUnder(e, at(time.Duration(n)*second), "request:1", fmt.Sprint("t-", n), 0)
	}
	lost := LostRequest{Request: Request{Key: "request:1"}, Target: "t-1"}
	_, changed := e.TargetEnded(at(2*second), &lost, EndDismissed)
	require.True(t, changed)
	require.Equal(t, 1, e.Ends("request:1"))
	acquitted, _ := e.Completed(at(3*second), "request:1")
	require.True(t, acquitted)
	require.Zero(t, e.Ends("request:1"))
	for n := range 2 {
		endUnder(e, at(time.Duration(4+n)*second), "request:1", fmt.Sprint("u-", n), 0)
	}
	require.Empty(t, closedRequests(e, at(7*second)))
}

// Guards against a closed request whose trials follow each other without a pause once many targets have
// ended under it.
func TestManyFailedTrialsLengthenThePause(t *testing.T) {
	e := NewEvidence("a")
	now := start
	for n := range 3 * maxEnds {
		endUnder(e, now, "request:1", fmt.Sprint("t-", n), 0)
		e.closeRequests(now)
		if n >= MaxEndedTargets {
			require.Greater(t, e.Check(now.Add(second), []string{"request:1"}).RetryAfter, firstTrialAfter/2, "end %d", n)
		}
		now = now.Add(firstTrialAfter << min(n, maxTrialDoublings)).Add(second)
	}
	require.Len(t, e.ends.records["request:1"].ends, maxEnds)
}

// Guards against an end that stays although a target completed the request soon after it completed another
// run.
func TestEachCompletionAcquits(t *testing.T) {
	e := NewEvidence("a")
	for n := range 4 {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		endUnder(e, now, "request:1", fmt.Sprint("t-", n), 0)
		acquitted, _ := e.Completed(now.Add(50*time.Millisecond), "request:1")
		require.True(t, acquitted)
		require.Zero(t, e.Ends("request:1"))
	}
}

// Guards against an item that is left lying since it was closed during a network partition that refuses
// connections, and stays closed although its targets run.
func TestDismissedEndsOpenRequest(t *testing.T) {
	e, other, late := NewEvidence("a"), NewEvidence("b"), NewEvidence("c")
	for n := range MaxEndedTargets {
		endUnder(e, at(time.Duration(n)*second/2), "request:1", fmt.Sprint("t-", n), 0)
	}
	now := at(2 * second)
	require.NotEmpty(t, closedRequests(e, now))
	other.Merge(now, e.Since(now, 0, false))
	onlyClosure := e.Since(now, 0, false)
	onlyClosure.Requests[0].Ends = onlyClosure.Requests[0].Ends[:2]
	late.Merge(now, onlyClosure)
	require.NotEmpty(t, closedRequests(late, now), "others know more ends")
	e.TargetEnded(now, &LostRequest{Request: Request{Key: "request:1"}, Target: "t-1"}, EndDismissed)
	require.Empty(t, closedRequests(e, now))
	other.Merge(now, e.Since(now, 0, false))
	late.Merge(now, e.Since(now, 0, false))
	require.Empty(t, closedRequests(other, now))
	require.Empty(t, closedRequests(late, now))
}

// Guards against a closed request that stays closed although a target completes it in its trial.
func TestCompletedTrialOpensRequest(t *testing.T) {
	e := NewEvidence("a")
	for n := range MaxEndedTargets {
		endUnder(e, at(time.Duration(n)*second), "request:1", fmt.Sprint("t-", n), 0)
	}
	require.NotEmpty(t, closedRequests(e, at(3*second)))
	claimed := at(2*second + firstTrialAfter)
	require.True(t, e.Check(claimed, []string{"request:1"}).Closed)
	require.True(t, e.Check(claimed.Add(claimTime), []string{"request:1"}).Trial)
	_, opened := e.Completed(claimed.Add(claimTime+second), "request:1")
	require.NotNil(t, opened)
	require.Empty(t, closedRequests(e, claimed.Add(claimTime+2*second)))
}

// Guards against a sound request that is closed because it ran at the targets that others crashed.
func TestRequestBesideCrashingOnesStaysOpen(t *testing.T) {
	e := NewEvidence("a")
	for n := range MaxEndedTargets {
		for crashing := range 3 {
			now, target := at(time.Duration(10*n+crashing)*second), fmt.Sprintf("t-%d-%d", n, crashing)
			endUnder(e, now, fmt.Sprint("request:crashes-", crashing), target, 4)
			if n == crashing {
				endUnder(e, now, "request:sound", target, 7+3*n)
			}
		}
	}
	require.Equal(t, 3, e.Ends("request:sound"))
	require.Equal(t, []string{"request:crashes-0", "request:crashes-1", "request:crashes-2"}, closedRequests(e, at(50*second)))
}

// Guards against a sound item that stays closed since a part that others have crashed the targets where it
// waited.
func TestRequestBesideCrashingPartIsOpened(t *testing.T) {
	e := NewEvidence("a")
	for n := range closeAfter + 2 {
		now, target := at(time.Duration(n)*second), fmt.Sprint("t-", n)
		if n < MaxEndedTargets {
			endUnder(e, now, "request:sound", target, 0)
		}
		endUnder(e, now, fmt.Sprint("request:with-part-", n), target, 0)
		e.Crashed(now, target, 0, []string{"dead", fmt.Sprint("rare-", n)})
	}
	now := at(10 * second)
	require.Equal(t, []string{"request:sound"}, closedRequests(e, now))
	require.NotEmpty(t, e.Evaluate(now))
	require.Equal(t, []string{"dead"}, closedRequests(e, now))
}

// Guards against a part that sound requests share and that is closed since one or two requests with it
// crash targets.
func TestCrashesOfFewRequestsCloseNoPart(t *testing.T) {
	for requests, closes := range map[int]bool{1: false, 2: false, 3: true, 6: true} {
		e := NewEvidence("a")
		for n := range closeAfter + 2 {
			now, target := at(time.Duration(n)*second), fmt.Sprint("t-", n)
			endUnder(e, now, fmt.Sprint("request:", n%requests), target, 0)
			e.Crashed(now, target, 0, []string{"p"})
		}
		require.Equal(t, closes, len(e.Evaluate(at(10*second))) > 0, "%d requests", requests)
	}
}

// Guards against ended targets of many requests that fill the memory, or that push out those of a request
// with several.
func TestEndsAreBounded(t *testing.T) {
	e := NewEvidence("a")
	for n := range 2 {
		endUnder(e, at(time.Duration(n)*second), "request:crashes", fmt.Sprint("t-", n), 0)
	}
	for n := range 3 * maxRequests {
		endUnder(e, at(3*second), fmt.Sprint("request:", n), "t-9", 0)
	}
	require.Len(t, e.ends.records, maxRequests)
	require.Equal(t, 2, e.Ends("request:crashes"))
	for n := range 3 * maxClosedRequests {
		for target := range MaxEndedTargets {
			endUnder(e, at(time.Duration(4+n)*second), fmt.Sprint("request:c-", n), fmt.Sprint("t-", n, "-", target), 0)
		}
		e.closeRequests(at(time.Duration(5+n) * second))
	}
	require.LessOrEqual(t, len(e.closures.all), maxClosedRequests)
	require.Len(t, e.endTimes.at, maxEndTimes)
	require.Contains(t, e.endTimes.at, incarnation{target: fmt.Sprint("t-", 3*maxClosedRequests-1, "-", 0)}, "the latest are kept")
	e.Evaluate(at(24 * time.Hour))
	require.Empty(t, e.ends.records)
	require.Empty(t, e.endTimes.at)
	require.Empty(t, e.closures.all)
	require.Empty(t, e.closures.ofParts)
}

// Guards against instances that close different requests although they know the same, whatever the order
// in which reports came.
func TestInstancesCloseTheSameRequests(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 53))
		list := []*Evidence{NewEvidence("a"), NewEvidence("b"), NewEvidence("c")}
		for n := range 8 {
			endUnder(list[rng.IntN(3)], at(time.Duration(n)*second), fmt.Sprint("request:", rng.IntN(3)), fmt.Sprint("t-", n), rng.IntN(3))
		}
		now := at(20 * second)
		mergeRandomly(rng, now, list)
		want := closedRequests(list[0], now)
		for _, e := range list {
			require.Equal(t, want, closedRequests(e, now), "seed %d", seed)
			for n := range 3 {
				require.Equal(t, list[0].Ends(fmt.Sprint("request:", n)), e.Ends(fmt.Sprint("request:", n)))
			}
		}
	}
}

// Guards against ended targets that the store does not bring back, and against an earlier release that
// takes them for closed parts.
func TestEndedTargetsInStore(t *testing.T) {
	e := NewEvidence("a")
	for n := range 2 {
		endUnder(e, at(time.Duration(n)*second), "request:1", fmt.Sprint("t-", n), 4)
	}
	data, err := cbor.Marshal(keptEndsOf(at(2*second), e.ends.records["request:1"].report(at(2*second))))
	require.NoError(t, err)
	var kept keptEnds
	require.NoError(t, cbor.Unmarshal(data, &kept))
	read, other := kept.ends(at(5*second)), NewEvidence("b")
	require.True(t, other.MergeEnds(at(5*second), &read))
	require.Equal(t, 2, other.Ends("request:1"))
	endUnder(other, at(6*second), "request:1", "t-9", 4)
	require.Equal(t, []string{"request:1"}, closedRequests(other, at(7*second)))
	var closure keptClosure
	require.NoError(t, cbor.Unmarshal(data, &closure))
	require.Empty(t, closure.Parts)
}

// Guards against repeats of a request that don't share a key, and against other requests that do.
func TestOnlineKey(t *testing.T) {
	request := func(change func(*exchange.Request)) string {
		r := &exchange.Request{
			ID: "r-1", Method: "POST", Host: "h", Path: "/a", Query: "q", After: exchange.FromStart, Body: []byte("body"),
			Prompt: exchange.Prompt{Parts: []exchange.PromptPart{{ID: "f"}, {ID: "own"}}},
		}
		change(r)
		return OnlineKey("one", r)
	}
	key := request(func(*exchange.Request) {})
	require.True(t, isRequestKey(key))
	require.Equal(t, key, request(func(r *exchange.Request) { r.ID, r.After, r.Resumes, r.Timeout = "r-2", 4, "r-1", second }))
	for name, change := range map[string]func(*exchange.Request){
		"method": func(r *exchange.Request) { r.Method = "PUT" },
		"host":   func(r *exchange.Request) { r.Host = "g" },
		"path":   func(r *exchange.Request) { r.Path, r.Query = "/aq", "" },
		"query":  func(r *exchange.Request) { r.Query = "p" },
		"part":   func(r *exchange.Request) { r.Prompt.Parts[1].ID = "other" },
		"body":   func(r *exchange.Request) { r.Body = []byte("bodz") },
	} {
		require.NotEqual(t, key, request(change), name)
	}
	require.NotEqual(t, ItemKey("job-1", "item"), ItemKey("job", "1-item"))
}

// commonFailure records that some targets end at one moment, each under a request of its own, which another
// target completes afterwards.
func commonFailure(e *Evidence, now time.Time, name string, targets int) {
	for n := range targets {
		key := fmt.Sprint("request:", name, "-", n)
		endUnder(e, now.Add(time.Duration(n)*time.Millisecond), key, fmt.Sprint(name, "-", n), n)
		e.Completed(now.Add(50*time.Millisecond), key)
	}
}

// Guards against a sound item that is held since it ran at a target of each of several racks that failed.
func TestRequestThatMeetsCommonFailuresStaysOpen(t *testing.T) {
	for name, events := range map[string][]int{
		"before the first event": {0, 0, 0, 0}, "with progress": {0, 131, 6, 40},
	} {
		t.Run(name, func(t *testing.T) {
			e, later := NewEvidence("a"), NewEvidence("b")
			now := start
			for n, count := range events {
				now = at(time.Duration(3*n) * second)
				endUnder(e, now, "request:sound", fmt.Sprint("t-", n), count)
				commonFailure(e, now, fmt.Sprint("rack-", n), 2)
			}
			require.Empty(t, closedRequests(e, now.Add(second)))
			later.Merge(now.Add(second), e.Since(now.Add(second), 0, false))
			require.Empty(t, closedRequests(later, now.Add(second)), "an instance that has started since")
			var stored RequestEnds
			for _, r := range e.Since(now.Add(second), 0, false).Requests {
				if r.Key == "request:sound" {
					kept := keptEndsOf(now.Add(second), r)
					stored = kept.ends(now.Add(second))
				}
			}
			restarted := NewEvidence("c")
			restarted.MergeEnds(now.Add(second), &stored)
			require.Equal(t, 4, restarted.Ends("request:sound"))
			require.Empty(t, closedRequests(restarted, now.Add(second)), "after a start of all instances")
		})
	}
}

// Guards against a request that ends targets without a bound since one of them ended together with others, or
// since each takes others with it.
func TestRequestBesideCommonFailureIsClosed(t *testing.T) {
	for name, c := range map[string]struct {
		events []int
		// failures are the ends that come together with others, closedAfter the number that closes it.
		failures, closedAfter int
	}{
		"at one point, one rack":             {[]int{4, 4, 4}, 1, 3},
		"at one point, two racks":            {[]int{4, 4, 4}, 2, 3},
		"at different points, one rack":      {[]int{4, 9, 2, 7}, 1, 4},
		"at different points, racks only":    {[]int{4, 9, 2, 7, 5, 1, 8, 3}, 8, 8},
		"at one point, racks only, at most":  {[]int{0, 0, 0, 0, 0, 0, 0, 0}, 8, 8},
		"at one point, no rack, as a rule":   {[]int{0, 0, 0}, 0, 3},
		"at different points, no rack, same": {[]int{1, 5, 3}, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence("a")
			for n, count := range c.events {
				now := at(time.Duration(3*n) * second)
				endUnder(e, now, "request:crashes", fmt.Sprint("t-", n), count)
				if n < c.failures {
					commonFailure(e, now, fmt.Sprint("rack-", n), 2)
				}
				require.Equal(t, n+1 >= c.closedAfter, len(closedRequests(e, now.Add(second))) > 0, "%d ends", n+1)
			}
		})
	}
}

// Guards against a request that goes on since its own ends, a few milliseconds apart, or one failure of a rack
// seem to be common failures.
func TestRequestThatEndsTargetsQuicklyIsClosed(t *testing.T) {
	for name, c := range map[string]struct{ rack, eventsApart int }{
		"alone": {0, 0}, "alone, at different events": {0, 5}, "beside a rack": {4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e, other := NewEvidence("a"), NewEvidence("b")
			commonFailure(e, start, "rack", c.rack)
			for n, after := range []time.Duration{31, 52, 98} {
				endUnder(e, at(after*time.Millisecond), "request:crashes", fmt.Sprint("t-", n), c.eventsApart*n)
				// Others learn of the end by a sound request first, and a little later.
				endUnder(e, at(after*time.Millisecond), "request:0", fmt.Sprint("t-", n), 7*n)
				other.Merge(at(after*11/10*time.Millisecond), e.Since(at(after*time.Millisecond), 0, false))
			}
			require.Contains(t, closedRequests(e, at(second)), "request:crashes")
			require.Contains(t, closedRequests(other, at(second)), "request:crashes")
		})
	}
}

// Guards against a request that goes on since another instance, whose times differ a little, saw its own ends
// at one moment.
func TestOwnEndsAreNoCommonFailureElsewhere(t *testing.T) {
	e := NewEvidence("a")
	reported := RequestEnds{Key: "request:crashes"}
	for n := range MaxEndedTargets {
		reported.Ends = append(reported.Ends, RequestEnd{
			Target: fmt.Sprint("t-", n), Simultaneous: 1, Age: time.Duration(3-n) * (momentGap + 5*time.Millisecond),
		})
	}
	e.MergeEnds(at(second), &reported)
	require.NotEmpty(t, closedRequests(e, at(second)))
}

// Guards against requests that go on since they end targets at the same moments and so seem to meet a common
// failure.
func TestRequestsThatEndTargetsTogetherAreClosed(t *testing.T) {
	const requests = 20
	e := NewEvidence("a")
	for n := range MaxEndedTargets {
		for r := range requests {
			endUnder(e, at(time.Duration(n)*second+time.Duration(r)*time.Millisecond), fmt.Sprint("request:", r), fmt.Sprint("t-", r, "-", n), 4)
		}
	}
	require.Len(t, closedRequests(e, at(3*second)), requests)
}

// Guards against ends at one moment that count as a common failure although the targets turned out to run.
func TestDismissedEndsAreNoCommonFailure(t *testing.T) {
	e := NewEvidence("a")
	for n := range 2 {
		lost := LostRequest{Request: Request{Key: "request:other"}, Target: fmt.Sprint("u-", n), At: start}
		e.TargetEnded(start, &lost, EndSuspected)
		e.TargetEnded(start, &lost, EndDismissed)
	}
	endUnder(e, start, "request:crashes", "t", 0)
	require.Zero(t, e.ends.records["request:crashes"].ends[incarnation{"t", 0}].simultaneous)
}
