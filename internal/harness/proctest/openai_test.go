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
		MaxTokens: openai.Int(askTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
}

// The published client library meets a daemon as its users run it.
func TestPublishedClient(t *testing.T) {
	f := start(t, options{settings: patientTimings})
	client := f.client(f.Instances[0], f.secret)
	t.Run("whole chat", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
		require.NoError(t, err)
		require.Equal(t, target.AnswerText(target.ChatPrompt("riser 4"), askTokens), answer.Choices[0].Message.Content)
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
		require.Equal(t, target.AnswerText(target.ChatPrompt("pump 2"), askTokens), text)
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
		job := f.submit(client, 20, askTokens)
		f.requireWhole(f.client(f.Instances[1], f.secret), job, 20, askTokens)
	})
	t.Run("batch cancelled", func(t *testing.T) {
		job := f.submit(client, 2000, 200)
		ended, err := client.Batches.Cancel(f.ctx, job)
		require.NoError(t, err)
		require.Equal(t, openai.BatchStatusCancelled, ended.Status)
		elsewhere := f.client(f.Instances[2], f.secret)
		// Another instance reads the cancel some milliseconds later. Until then
		// it may only show the job as it was, and never as anything else.
		f.poll(func(ctx context.Context) (bool, error) {
			seen, err := elsewhere.Batches.Get(ctx, job)
			require.NoError(t, err)
			require.Contains(t, []openai.BatchStatus{openai.BatchStatusInProgress, openai.BatchStatusCancelled}, seen.Status)
			return seen.Status == openai.BatchStatusCancelled, nil
		})
	})
}

// attempts counts the requests that a client library makes, by the status of
// their answers.
type attempts struct {
	mu     sync.Mutex
	status []int
	after  []string
}

func (a *attempts) watch(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
	answer, err := next(r)
	if err != nil {
		return answer, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = append(a.status, answer.StatusCode)
	a.after = append(a.after, answer.Header.Get("Retry-After"))
	return answer, nil
}

// A call above the organisation's rate is refused with the time at which it may
// come again. The library waits as it is told, and its user sees an answer.
func TestPublishedClientComesBackAfterARefusedRate(t *testing.T) {
	f := start(t, options{settings: patientTimings})
	secret, _ := f.createKey("tacoma-harbor")
	seen := &attempts{}
	client := f.client(f.Instances[0], secret, option.WithMaxRetries(4), option.WithMiddleware(seen.watch))
	for range 2 {
		answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
		require.NoError(t, err)
		require.NotEmpty(t, answer.Choices[0].Message.Content)
	}
	require.Contains(t, seen.status, http.StatusTooManyRequests)
	seen.requireToldWhen(t)
}

// All targets refuse for a moment. The library gets a refusal with a time, comes
// back by itself, and its user sees an answer.
func TestPublishedClientComesBackAfterBusyTargets(t *testing.T) {
	f := start(t, options{settings: patientTimings})
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{Refuse: true, Times: 1}))
	}
	seen := &attempts{}
	client := f.client(f.Instances[0], f.secret, option.WithMaxRetries(4), option.WithMiddleware(seen.watch))
	answer, err := client.Chat.Completions.New(f.ctx, chat("riser 4"))
	require.NoError(t, err)
	require.NotEmpty(t, answer.Choices[0].Message.Content)
	require.Equal(t, []int{http.StatusBadGateway, http.StatusOK}, seen.status)
	seen.requireToldWhen(t)
}

// The log is down when a job's file is uploaded, and back soon after. The
// library is told that nothing was kept and when to come back, and its user gets
// the job.
func TestPublishedClientComesBackAfterAnOutage(t *testing.T) {
	f := start(t, options{settings: patientTimings})
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{Log: "down"}))
	f.awaitLog(f.Instances, false)
	seen := &attempts{}
	mend := func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
		answer, err := seen.watch(r, next)
		if err == nil && answer.StatusCode == http.StatusServiceUnavailable {
			err = f.SetFaults(f.ctx, platformsrv.Faults{})
		}
		return answer, err
	}
	client := f.client(f.Instances[0], f.secret, option.WithMaxRetries(4), option.WithMiddleware(mend))
	job := f.submit(client, 10, askTokens)
	require.Contains(t, seen.status, http.StatusServiceUnavailable)
	seen.requireToldWhen(t)
	f.requireWhole(f.client(f.Instances[1], f.secret), job, 10, askTokens)
}

func (a *attempts) requireToldWhen(t *testing.T) {
	t.Helper()
	for n, status := range a.status {
		if status != http.StatusOK {
			require.NotEmpty(t, a.after[n], "answer %d with status %d", n, status)
		}
	}
}
