package proctest

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
)

// An instance is stopped gracefully while callers use it, as in a deployment. Each
// call that the instance accepts must end with a complete answer: a truncated
// stream would show the user half a summary.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	const callers, tokens = 12, 60
	f := start(t, options{settings: shortTimings})
	leaving := f.Instances[0]
	job := f.submit(f.client(leaving, f.secret), 200, 40)
	var mu sync.Mutex
	var failures []string
	var running sync.WaitGroup
	complete := 0
	enough := make(chan struct{})
	for n := range callers {
		running.Go(func() {
			caller := f.callerFor(leaving, f.secret)
			for turn := 0; ; turn++ {
				prompt := fmt.Sprintf("riser %d of caller %d", turn, n)
				stream := (turn+n)%2 == 0
				answer, err := caller.Post(f.ctx, "/v1/chat/completions", harness.ChatBody(model, prompt, tokens, stream), nil)
				mu.Lock()
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					mu.Unlock()
					return
				case err != nil:
					failures = append(failures, err.Error())
					mu.Unlock()
					return
				case answer.Status == http.StatusOK && answer.MatchesPrompt(prompt, tokens, stream):
					complete++
					if complete == 2*callers {
						close(enough)
					}
				case answer.Status == http.StatusServiceUnavailable && answer.RunState == "not_run" && answer.RetryAfter != "":
				default:
					failures = append(failures, answer.String())
				}
				mu.Unlock()
			}
		})
	}
	select {
	case <-enough:
	case <-f.ctx.Done():
	}
	require.NoError(t, leaving.Process.Stop(), "must exit with 0")
	running.Wait()
	require.Empty(t, failures)
	f.requireComplete(f.client(f.Instances[1], f.secret), job, 200, 40)
}
