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

func TestItemRunsToCompletion(t *testing.T) {
	runner := New(Options{Target: targethttp.New(targethttp.Options{})})
	outcome := runner.Run(t.Context(), start(t), item(body))
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, target.AnswerText(target.ChatPrompt("valve"), 8), content(t, outcome.Result.Body))
	require.Contains(t, string(outcome.Result.Body), `"total_tokens"`)
}

// cancellingTarget cancels the context of the run after the given number of events,
// as the revocation of its slot does.
type cancellingTarget struct {
	external.Target
	events int
	cancel context.CancelFunc
}

func (c *cancellingTarget) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	answer, err := c.Target.Do(ctx, address, call)
	if err != nil {
		return nil, err
	}
	data, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	parts := bytes.SplitAfterN(data, []byte("\n\n"), c.events+1)
	head := bytes.Join(parts[:c.events], nil)
	answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), &cancelOnRead{c.cancel}))
	return answer, nil
}

type cancelOnRead struct{ cancel context.CancelFunc }

func (c *cancelOnRead) Read([]byte) (int, error) {
	c.cancel()
	return 0, context.Canceled
}

// Online traffic preempts an item in the middle of its answer. The next run must
// resume there at another target, so that no token is generated twice and the result
// is the same as without the interruption.
func TestInterruptedItemResumes(t *testing.T) {
	client := targethttp.New(targethttp.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	first := New(Options{Target: &cancellingTarget{Target: client, events: 3, cancel: cancel}})
	outcome := first.Run(ctx, start(t), item(body))
	require.Equal(t, batch.Interrupted, outcome.Kind)
	require.Equal(t, 3, outcome.Resume.Tokens)
	again := item(body)
	again.Resume = outcome.Resume
	outcome = New(Options{Target: client}).Run(t.Context(), start(t), again)
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, target.AnswerText(target.ChatPrompt("valve"), 8), content(t, outcome.Result.Body))
}

// fixedStream is a target that responds to every call with the same stream.
type fixedStream string

func (f fixedStream) Do(context.Context, string, external.Call) (*external.Answer, error) {
	return &external.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(f)))}, nil
}

func (f fixedStream) Cancel(context.Context, string, protocol.CallID) error { return nil }

// A target that can't resume starts from the beginning. If its output were appended
// to the partial output, the result would repeat its beginning. The item must run
// again from the beginning instead.
func TestItemRestartsIfTargetDoesNotResume(t *testing.T) {
	kept, err := (&partialAnswer{Position: 3, Text: []byte("abc")}).encode()
	require.NoError(t, err)
	again := item(body)
	again.Resume = &batch.Resume{Tokens: 3, Output: kept}
	stream := fixedStream("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	outcome := New(Options{Target: stream}).Run(t.Context(), slot{}, again)
	require.Equal(t, batch.Done, outcome.Kind)
	require.Equal(t, "a", content(t, outcome.Result.Body))
}

// A stream ends without its end marker, because the target failed. The text so far
// looks like a complete answer but must not become a result.
func TestStreamWithoutEndMarkerIsNoResult(t *testing.T) {
	stream := fixedStream("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
	outcome := New(Options{Target: stream}).Run(t.Context(), slot{}, item(body))
	require.Equal(t, batch.Retry, outcome.Kind)
}

func FuzzPartial(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := &partialAnswer{}
		if err := p.addEvent(sseEvent(raw), false); err != nil {
			return
		}
		data, err := p.encode()
		require.NoError(t, err)
		_, err = decodePartial(data)
		require.NoError(t, err)
	})
}

func sseEvent(raw []byte) sse.Event { return sse.Event{Raw: raw} }

// Guards against a result that is joined from the output of targets of two software versions:
// the item starts again, and its result is complete.
func TestInterruptedItemStartsAgainAtOtherVersion(t *testing.T) {
	client := targethttp.New(targethttp.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	first := start(t)
	first.pick.Version = "v1"
	outcome := New(Options{Target: &cancellingTarget{Target: client, events: 3, cancel: cancel}}).Run(ctx, first, item(body))
	require.Equal(t, "v1", outcome.Resume.Version)
	for version, resumedAt := range map[string]int{"v1": 3, "v2": 0} {
		recorded := &recordingTarget{Target: client}
		again := item(body)
		again.Resume = outcome.Resume
		next := start(t)
		next.pick.Version = version
		result := New(Options{Target: recorded}).Run(t.Context(), next, again)
		require.Equal(t, batch.Done, result.Kind)
		require.Equal(t, target.AnswerText(target.ChatPrompt("valve"), 8), content(t, result.Result.Body))
		require.Equal(t, []int{resumedAt}, recorded.resumedAt, version)
	}
}

// recordingTarget records at which position each call was resumed.
type recordingTarget struct {
	external.Target
	resumedAt []int
}

func (r *recordingTarget) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	r.resumedAt = append(r.resumedAt, call.ResumeAt)
	return r.Target.Do(ctx, address, call)
}
