package proctest

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/wait"
)

var stopSeeds = flag.Int("stop-seeds", 1, "Number of seeds of TestStopsInSeriesCutNoRequest.")

const (
	stopsPerSeed = 3
	// bodyPieces and bodyPieceDelay make a body that takes longer than the drain notice.
	bodyPieces     = 5
	bodyPieceDelay = 100 * time.Millisecond
	// longStream is the length in tokens of a stream that takes longer than the drain
	// notice.
	longStream = 300
	// maxPause is shorter than a session lasts, so that a pause costs no slots.
	maxPause = 500 * time.Millisecond
)

// Guards against requests that end without an answer, or are refused as above the rate, at
// instances that are stopped one after the other, some of them paused while they stop.
func TestStopsInSeriesCutNoRequest(t *testing.T) {
	for seed := range *stopSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { stopInSeries(t, uint64(seed)) })
	}
}

func stopInSeries(t *testing.T, seed uint64) {
	f := start(t, options{settings: shortTimings})
	callers := &stopCallers{fleet: f, answered: make(chan struct{}, 1)}
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	for n := range 12 {
		callers.running.Go(func() { callers.run(ctx, n) })
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for range stopsPerSeed {
		callers.awaitAnswers(ctx)
		stopping := f.Instances[random.IntN(len(f.Instances))]
		pauseAfter := time.Duration(random.Int64N(int64(time.Second)))
		pauseFor := time.Duration(random.Int64N(int64(maxPause)))
		f.stopWithPause(stopping, pauseAfter, pauseFor)
		require.NoError(t, f.Restart(stopping))
		require.NoError(t, f.WaitReady(f.ctx))
	}
	callers.awaitAnswers(ctx)
	require.NoError(t, ctx.Err(), "the callers got too few answers")
	stop()
	callers.running.Wait()
	require.Empty(t, callers.failures)
}

// stopWithPause stops an instance gracefully and pauses its process meanwhile.
func (f *fleet) stopWithPause(i *harness.Instance, after, pause time.Duration) {
	f.t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- i.Process.Stop() }()
	wait.For(f.ctx, after)
	if !i.Process.Exited() {
		_ = i.Process.Pause()
		wait.For(f.ctx, pause)
		_ = i.Process.Continue()
	}
	require.NoError(f.t, <-exited, "must exit with 0")
}

// stopCallers call instances in a loop and keep their connections.
type stopCallers struct {
	fleet   *fleet
	running sync.WaitGroup
	// answered has an item for a number of complete answers.
	answered chan struct{}

	mu       sync.Mutex
	complete int
	failures []string
}

// answersBetweenStops is the number of complete answers between two stops.
const answersBetweenStops = 24

func (c *stopCallers) awaitAnswers(ctx context.Context) {
	select {
	case <-c.answered:
	default:
	}
	select {
	case <-c.answered:
	case <-ctx.Done():
	}
}

func (c *stopCallers) run(ctx context.Context, n int) {
	instance := c.fleet.Instances[n%len(c.fleet.Instances)]
	caller := c.fleet.callerFor(instance, c.fleet.secret)
	for turn := 0; ctx.Err() == nil; turn++ {
		prompt := fmt.Sprintf("riser %d of caller %d", turn, n)
		tokens, stream, delay := 60, (turn+n)%2 == 0, time.Duration(0)
		switch n / len(c.fleet.Instances) {
		case 0:
			tokens, stream = longStream, true
		case 1:
			delay = bodyPieceDelay
		}
		answer, err := c.post(caller, harness.ChatBody(model, prompt, tokens, stream), delay)
		c.record(instance, answer, err, err == nil && answer.MatchesPrompt(prompt, tokens, stream))
		if err != nil || answer.Status != http.StatusOK {
			wait.For(ctx, bodyPieceDelay)
		}
	}
}

func (c *stopCallers) post(caller *harness.Caller, body []byte, delay time.Duration) (*harness.Answer, error) {
	var reader io.Reader = bytes.NewReader(body)
	if delay > 0 {
		reader = &slowBody{ctx: c.fleet.ctx, rest: body, delay: delay}
	}
	return caller.PostFrom(c.fleet.ctx, "/v1/chat/completions", reader, len(body), nil)
}

func (c *stopCallers) record(instance *harness.Instance, answer *harness.Answer, err error, matches bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
	case err != nil:
		c.failures = append(c.failures, fmt.Sprintf("%s %s: %s", time.Now().UTC().Format(time.RFC3339Nano), instance.ID, err))
	case answer.Status == http.StatusOK && matches:
		c.complete++
		if c.complete%answersBetweenStops == 0 {
			select {
			case c.answered <- struct{}{}:
			default:
			}
		}
	case answer.Status == http.StatusServiceUnavailable && answer.RunState == "not_run" && answer.RetryAfter != "":
	default:
		c.failures = append(c.failures, fmt.Sprintf("%s %s: %s", time.Now().UTC().Format(time.RFC3339Nano), instance.ID, answer))
	}
}

// slowBody is a body that arrives in pieces.
type slowBody struct {
	ctx   context.Context
	rest  []byte
	delay time.Duration
	piece int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	if b.piece == 0 {
		b.piece = max(1, len(b.rest)/bodyPieces)
	} else {
		wait.For(b.ctx, b.delay)
	}
	n := copy(p, b.rest[:min(b.piece, len(b.rest))])
	b.rest = b.rest[n:]
	return n, nil
}
