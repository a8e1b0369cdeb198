package edge

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/target"
)

func (s *system) openai(secret string, opts ...option.RequestOption) openai.Client {
	all := []option.RequestOption{option.WithBaseURL(s.url + "/v1"), option.WithAPIKey(secret)}
	return openai.NewClient(append(all, opts...)...)
}

func chat(question string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    testModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
}

func TestOpenAIClientGetsWholeChat(t *testing.T) {
	s := newSystem(t, systemOptions{})
	client := s.openai(testSecret)
	answer, err := client.Chat.Completions.New(context.Background(), chat("riser 4"))
	require.NoError(t, err)
	require.Equal(t, target.Text(target.ChatText("riser 4"), answerTokens), answer.Choices[0].Message.Content)
	require.EqualValues(t, answerTokens, answer.Usage.CompletionTokens)
}

func TestOpenAIClientGetsStreamedChat(t *testing.T) {
	s := newSystem(t, systemOptions{})
	text, err := s.streamText("pump 2")
	require.NoError(t, err)
	require.Equal(t, target.Text(target.ChatText("pump 2"), answerTokens), text)
}

// streamText returns the text that a client received from a streamed chat.
func (s *system) streamText(question string, opts ...option.RequestOption) (string, error) {
	client := s.openai(testSecret, append(opts, option.WithMaxRetries(0))...)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat(question))
	defer func() { _ = stream.Close() }()
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	return text, stream.Err()
}

func TestOpenAIClientGetsTextCompletion(t *testing.T) {
	s := newSystem(t, systemOptions{})
	client := s.openai(testSecret)
	answer, err := client.Completions.New(context.Background(), openai.CompletionNewParams{
		Model:  testModel,
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("valve 7")},
	})
	require.NoError(t, err)
	require.Equal(t, target.Text("valve 7", answerTokens), answer.Choices[0].Text)
}

func TestOpenAIClientListsModels(t *testing.T) {
	s := newSystem(t, systemOptions{})
	client := s.openai(testSecret)
	page, err := client.Models.List(context.Background())
	require.NoError(t, err)
	require.Len(t, page.Data, 1)
	require.Equal(t, testModel, page.Data[0].ID)
	one, err := client.Models.Get(context.Background(), testModel)
	require.NoError(t, err)
	require.Equal(t, testModel, one.ID)
}

func TestOpenAIClientSeesErrors(t *testing.T) {
	s := newSystem(t, systemOptions{})
	cases := []struct {
		name, secret, model string
		status              int
		code                string
	}{
		{"wrong key", "sk-other", testModel, http.StatusUnauthorized, "unauthorized"},
		{"unknown model", testSecret, "no-such", http.StatusNotFound, "model_not_found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := s.openai(c.secret)
			params := chat("q")
			params.Model = c.model
			_, err := client.Chat.Completions.New(context.Background(), params)
			var failed *openai.Error
			require.True(t, errors.As(err, &failed))
			require.Equal(t, c.status, failed.StatusCode)
			require.Equal(t, c.code, failed.Code)
			require.Contains(t, failed.RawJSON(), `"run_state":"not_run"`)
		})
	}
}

// All targets reject their first call. The client receives a refusal with a retry
// delay and retries automatically, so that its user sees no error.
func TestOpenAIClientRetriesByItself(t *testing.T) {
	s := newSystem(t, systemOptions{})
	s.setFaults(target.Faults{Refuse: true, Times: 1})
	client := s.openai(testSecret)
	answer, err := client.Chat.Completions.New(context.Background(), chat("riser 4"))
	require.NoError(t, err)
	require.NotEmpty(t, answer.Choices[0].Message.Content)
}
