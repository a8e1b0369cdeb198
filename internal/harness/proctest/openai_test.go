package proctest

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/platformsrv"
	"merlintiller/internal/standin/target"
)

func chat(question string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(callTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
}

// Tests the published OpenAI client library against a daemon with real processes.
func TestPublishedClient(t *testing.T) {
	f := start(t, options{settings: longTimings})
	client := f.client(f.Instances[0], f.secret)
	t.Run("chat", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
		require.NoError(t, err)
		require.Equal(t, target.AnswerText(target.ChatPrompt("riser 4"), callTokens), answer.Choices[0].Message.Content)
	})
	t.Run("streamed chat", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(f.ctx, chat("pump 2"))
		text := ""
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text += choice.Delta.Content
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, target.AnswerText(target.ChatPrompt("pump 2"), callTokens), text)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(f.ctx)
		require.NoError(t, err)
		require.Len(t, page.Data, 1)
		require.Equal(t, model, page.Data[0].ID)
	})
	t.Run("error", func(t *testing.T) {
		params := chat("q")
		params.Model = "no-such"
		_, err := client.Chat.Completions.New(f.ctx, params)
		var refusal *openai.Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, http.StatusNotFound, refusal.StatusCode)
		require.Equal(t, string(protocol.CodeUnknownModel), refusal.Code)
		require.Contains(t, refusal.RawJSON(), `"run_state":"not_run"`)
	})
	t.Run("batch", func(t *testing.T) {
		job := f.submit(client, 20, callTokens)
		f.requireComplete(f.client(f.Instances[1], f.secret), job, 20, callTokens)
	})
	t.Run("batch cancelled", func(t *testing.T) {
		job := f.submit(client, 2000, 200)
		ended, err := client.Batches.Cancel(f.ctx, job)
		require.NoError(t, err)
		require.Equal(t, openai.BatchStatusCancelled, ended.Status)
		otherClient := f.client(f.Instances[2], f.secret)
		// Another instance reads the cancel some milliseconds later. Until then it
		// may report the job only as in progress.
		f.poll(func(ctx context.Context) (bool, error) {
			seen, err := otherClient.Batches.Get(ctx, job)
			require.NoError(t, err)
			require.Contains(t, []openai.BatchStatus{openai.BatchStatusInProgress, openai.BatchStatusCancelled}, seen.Status)
			return seen.Status == openai.BatchStatusCancelled, nil
		})
	})
}

// attempts records the status and the Retry-After header of the response to each
// request of a client library.
type attempts struct {
	mu         sync.Mutex
	status     []int
	retryAfter []string
}

func (a *attempts) record(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
	answer, err := next(r)
	if err != nil {
		return answer, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = append(a.status, answer.StatusCode)
	a.retryAfter = append(a.retryAfter, answer.Header.Get("Retry-After"))
	return answer, nil
}

// A call above the organisation's rate limit must be rejected with a Retry-After
// header. The library then waits and retries, and its user gets an answer.
func TestPublishedClientRetriesAfterRateLimit(t *testing.T) {
	f := start(t, options{settings: longTimings})
	secret, _ := f.createKey("tacoma-harbor")
	seen := &attempts{}
	client := f.client(f.Instances[0], secret, option.WithMaxRetries(4), option.WithMiddleware(seen.record))
	for range 2 {
		answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
		require.NoError(t, err)
		require.NotEmpty(t, answer.Choices[0].Message.Content)
	}
	require.Contains(t, seen.status, http.StatusTooManyRequests)
	seen.requireRetryAfter(t)
}

// Each target refuses its next request. The library must get an error with a
// Retry-After header. The library then retries, and its user gets an answer.
func TestPublishedClientRetriesAfterBusyTargets(t *testing.T) {
	f := start(t, options{settings: longTimings})
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{Refuse: true, Times: 1}))
	}
	seen := &attempts{}
	client := f.client(f.Instances[0], f.secret, option.WithMaxRetries(4), option.WithMiddleware(seen.record))
	answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
	require.NoError(t, err)
	require.NotEmpty(t, answer.Choices[0].Message.Content)
	require.Equal(t, []int{http.StatusBadGateway, http.StatusOK}, seen.status)
	seen.requireRetryAfter(t)
}

// The log is down when the file of a job is uploaded, and is restored after the
// first rejection. The rejection must have a Retry-After header. The library then
// retries, and its user gets the job.
func TestPublishedClientRetriesAfterOutage(t *testing.T) {
	f := start(t, options{settings: longTimings})
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{Log: "down"}))
	f.awaitLog(f.Instances, false)
	seen := &attempts{}
	restoreLog := func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
		answer, err := seen.record(r, next)
		if err == nil && answer.StatusCode == http.StatusServiceUnavailable {
			err = f.SetFaults(f.ctx, platformsrv.Faults{})
		}
		return answer, err
	}
	client := f.client(f.Instances[0], f.secret, option.WithMaxRetries(4), option.WithMiddleware(restoreLog))
	job := f.submit(client, 10, callTokens)
	require.Contains(t, seen.status, http.StatusServiceUnavailable)
	seen.requireRetryAfter(t)
	f.requireComplete(f.client(f.Instances[1], f.secret), job, 10, callTokens)
}

func (a *attempts) requireRetryAfter(t *testing.T) {
	t.Helper()
	for n, status := range a.status {
		if status != http.StatusOK {
			require.NotEmpty(t, a.retryAfter[n], "answer %d with status %d", n, status)
		}
	}
}
