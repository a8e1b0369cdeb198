package proctest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/wait"
)

// sendFewWithPart sends requests with a crashing part until ctx ends, the second and the third one after a pause. Its
// caller repeats each at other instances until it is refused, so that one request ends several targets.
func (f *routedFleet) sendFewWithPart(ctx context.Context, seed uint64, pauses [2]time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 78))
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("f1:200,%s,own%d:250", crashesPart, n)
		for try, i := range rng.Perm(len(f.instances))[:4] {
			status, _ := f.attempt(ctx, f.instances[i], "/r/a/35", fmt.Sprintf("part-%d/%d", n, try), prompt, "the same body", nil)
			if status == http.StatusServiceUnavailable {
				break
			}
			wait.For(ctx, 50*time.Millisecond)
		}
		pause := 400 * time.Millisecond
		if n < len(pauses) {
			pause = pauses[n]
		}
		wait.For(ctx, pause)
	}
}

// Guards against a crashing part that stays open for as long as only two requests with it have ended targets, three each:
// every further one ends three more.
func TestCrashingPartOfFewRequestsStopsReachingTargets(t *testing.T) {
	dir := playDir(t, "few requests")
	f := startRoutedWith(t, dir, restartInstances, func(f *routedFleet) {
		for n := range restartInstances {
			f.superviseTarget(dir, n, crashesAt, targetRestart{back: 2 * time.Second, newIDs: true})
		}
	})
	ctx, stop := context.WithTimeout(f.ctx, 20*time.Second)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The fifth target ends under the second request; the third one comes once the clock of the bound has run.
		f.sendFewWithPart(ctx, 1, [2]time.Duration{time.Second, settledAfter + time.Second})
	}()
	sound := f.sendSound(ctx, 1, 20)
	<-done
	runs := runsOf(f.runsIn(dir), "part-")
	late := lateRuns(runs, settledAfter)
	t.Logf("requests with the part at targets: %d, %d of them late; sound requests: %d of %d served, %v", len(runs), late, sound.served, sound.sent, sound.status)
	require.GreaterOrEqual(t, len(runs), 5)
	require.LessOrEqual(t, late, toleratedLate)
}
