package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/standin/target"
)

// client returns a client of the published OpenAI library for one instance.
func (f *fleet) client(i *harness.Instance, secret string, opts ...option.RequestOption) openai.Client {
	all := []option.RequestOption{
		option.WithBaseURL("http://" + i.Callers + "/v1"),
		option.WithAPIKey(secret),
		option.WithMaxRetries(0),
	}
	return openai.NewClient(append(all, opts...)...)
}

func itemID(n int) string     { return fmt.Sprintf("report-%04d", n) }
func itemPrompt(n int) string { return fmt.Sprintf("annual report %d", n) }

func inputLines(items, tokens int) string {
	var text strings.Builder
	for n := range items {
		body := harness.ChatBody(model, itemPrompt(n), tokens, false)
		fmt.Fprintf(&text, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", itemID(n), body)
	}
	return text.String()
}

func (f *fleet) upload(client openai.Client, text string) string {
	f.t.Helper()
	file, err := client.Files.New(f.ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(text), "night.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	require.NoError(f.t, err)
	return file.ID
}

func (f *fleet) create(client openai.Client, file string) (*openai.Batch, error) {
	return client.Batches.New(f.ctx, openai.BatchNewParams{
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		InputFileID:      file,
	})
}

// submit uploads the items of a job and submits the job.
func (f *fleet) submit(client openai.Client, items, tokens int) string {
	f.t.Helper()
	job, err := f.create(client, f.upload(client, inputLines(items, tokens)))
	require.NoError(f.t, err)
	return job.ID
}

// awaitCompleted waits until a job is completed and returns the id of its output
// file.
func (f *fleet) awaitCompleted(client openai.Client, job string) string {
	f.t.Helper()
	var last *openai.Batch
	f.poll(func(ctx context.Context) (bool, error) {
		now, err := client.Batches.Get(ctx, job)
		if err != nil {
			return false, err
		}
		last = now
		return now.Status != openai.BatchStatusInProgress && now.Status != openai.BatchStatusFinalizing, nil
	})
	require.Equal(f.t, openai.BatchStatusCompleted, last.Status)
	return last.OutputFileID
}

func (f *fleet) content(client openai.Client, file string) string {
	f.t.Helper()
	answer, err := client.Files.Content(f.ctx, file)
	require.NoError(f.t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	return string(data)
}

// requireComplete checks that the job completes with exactly one result for each
// item, which is the complete expected answer.
func (f *fleet) requireComplete(client openai.Client, job string, items, tokens int) {
	f.t.Helper()
	output := f.content(client, f.awaitCompleted(client, job))
	want := map[string]string{}
	for n := range items {
		want[itemID(n)] = target.AnswerText(target.ChatPrompt(itemPrompt(n)), tokens)
	}
	got := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
		id, text := resultOf(line)
		require.NotContains(f.t, got, id, "two results for one item")
		got[id] = text
	}
	require.Equal(f.t, want, got)
}

func resultOf(line string) (id, text string) {
	var result struct {
		CustomID string `json:"custom_id"`
		Response struct {
			Body struct {
				Choices []struct{ Message struct{ Content string } }
			}
		}
	}
	if json.Unmarshal([]byte(line), &result) != nil || len(result.Response.Body.Choices) != 1 {
		return line, ""
	}
	return result.CustomID, result.Response.Body.Choices[0].Message.Content
}
