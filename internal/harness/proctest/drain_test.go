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

// An instance is replaced while callers use it. Each call that it takes must
// end whole; a caller whose stream breaks off at a deployment would show half a
// summary in a boiler room.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	const callers, tokens = 12, 60
	f := start(t, options{settings: shortTimings})
	leaving := f.Instances[0]
	job := f.submit(f.client(leaving, f.secret), 200, 40)
	var mu sync.Mutex
	var wrong []string
	var running sync.WaitGroup
	whole := 0
	enough := make(chan struct{})
	for n := range callers {
		running.Go(func() {
			caller := f.at(leaving, f.secret)
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
					wrong = append(wrong, err.Error())
					mu.Unlock()
					return
				case answer.Status == http.StatusOK && answer.IsOwnAnswer(prompt, tokens, stream):
					whole++
					if whole == 2*callers {
						close(enough)
					}
				case answer.Status == http.StatusServiceUnavailable && answer.RunState == "not_run" && answer.RetryAfter != "":
				default:
					wrong = append(wrong, answer.String())
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
	require.Empty(t, wrong)
	f.requireWhole(f.client(f.Instances[1], f.secret), job, 200, 40)
}
