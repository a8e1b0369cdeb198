package itemrun

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/targethttp"
)

type slot struct{ pick coordination.Pick }

func (s slot) Pick() coordination.Pick         { return s.pick }
func (s slot) Revoked() <-chan struct{}        { return nil }
func (s slot) Release(coordination.CallResult) {}

func item(body string) batch.Item {
	return batch.Item{Endpoint: "/v1/chat/completions", CustomID: "a", Body: []byte(body)}
}

const body = `{"model":"m","messages":[{"role":"user","content":"valve"}],"max_tokens":8}`

func start(t *testing.T) slot {
	t.Helper()
	server := httptest.NewServer(target.New(target.Config{ID: "t"}))
	t.Cleanup(server.Close)
	return slot{coordination.Pick{Target: "t", Address: strings.TrimPrefix(server.URL, "http://")}}
}

func content(t *testing.T, body []byte) string {
	t.Helper()
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal(body, &answer))
	return answer.Choices[0].Message.Content
}

func TestItemRunsWhole(t *testing.T) {
	runner := New(Options{Target: targethttp.New(targethttp.Options{})})
	outcome := runner.Run(t.Context(), start(t), item(body))
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, target.Text(target.ChatText("valve"), 8), content(t, outcome.Result.Body))
	require.Contains(t, string(outcome.Result.Body), `"total_tokens"`)
}

// cutting ends the run's context after some events, as a revoked place does.
type cutting struct {
	external.Target
	events int
	cancel context.CancelFunc
}

func (c *cutting) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	answer, err := c.Target.Do(ctx, address, call)
	if err != nil {
		return nil, err
	}
	data, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	parts := bytes.SplitAfterN(data, []byte("\n\n"), c.events+1)
	head := bytes.Join(parts[:c.events], nil)
	answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), &canceller{c.cancel}))
	return answer, nil
}

type canceller struct{ cancel context.CancelFunc }

func (c *canceller) Read([]byte) (int, error) {
	c.cancel()
	return 0, context.Canceled
}

// An online burst takes the item's place back in the middle of its answer. The
// next run resumes there, at another target; the report reads as if nothing
// had happened, and no token was made twice.
func TestInterruptedItemResumes(t *testing.T) {
	client := targethttp.New(targethttp.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	first := New(Options{Target: &cutting{Target: client, events: 3, cancel: cancel}})
	outcome := first.Run(ctx, start(t), item(body))
	require.Equal(t, batch.Interrupted, outcome.Kind)
	require.Equal(t, 3, outcome.Resume.Tokens)
	again := item(body)
	again.Resume = outcome.Resume
	outcome = New(Options{Target: client}).Run(t.Context(), start(t), again)
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, target.Text(target.ChatText("valve"), 8), content(t, outcome.Result.Body))
}

// fixed answers every call with the same stream.
type fixed string

func (f fixed) Do(context.Context, string, external.Call) (*external.Answer, error) {
	return &external.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(f)))}, nil
}

func (f fixed) Cancel(context.Context, string, protocol.CallID) error { return nil }

// A target that can't resume starts from the beginning. Joined to what was
// kept, the report would say its first words twice; the item is run anew.
func TestTargetThatDoesNotResumeIsNotJoined(t *testing.T) {
	kept, err := (&partial{Position: 3, Text: []byte("abc")}).encode()
	require.NoError(t, err)
	again := item(body)
	again.Resume = &batch.Resume{Tokens: 3, Output: kept}
	stream := fixed("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	outcome := New(Options{Target: stream}).Run(t.Context(), slot{}, again)
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, "a", content(t, outcome.Result.Body))
}

// A stream ends without its end mark, because the target died. The text so far
// reads like a whole report and must not be kept as one.
func TestStreamWithoutEndMarkIsNoResult(t *testing.T) {
	stream := fixed("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
	outcome := New(Options{Target: stream}).Run(t.Context(), slot{}, item(body))
	require.Equal(t, batch.Retry, outcome.Kind)
}

func FuzzPartial(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := &partial{}
		if err := p.add(sseEvent(raw), false); err != nil {
			return
		}
		data, err := p.encode()
		require.NoError(t, err)
		_, err = decodePartial(data)
		require.NoError(t, err)
	})
}

func sseEvent(raw []byte) sse.Event { return sse.Event{Raw: raw} }
