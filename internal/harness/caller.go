package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/standin/target"
)

// callTimeout limits a call of the harness. It is far above all deadlines in the
// tests and measurements.
const callTimeout = 60 * time.Second

// Caller sends online calls to all instances in turn.
type Caller struct {
	Secret    string
	addresses func() []string
	next      atomic.Uint64
	client    *http.Client
}

// NewCaller returns a Caller. addresses returns the addresses of the instances that
// are currently behind the platform's load balancer.
func NewCaller(secret string, addresses func() []string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Caller{Secret: secret, addresses: addresses, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

func (c *Caller) address() string {
	all := c.addresses()
	return all[c.next.Add(1)%uint64(len(all))]
}

// Answer is the outcome of one call.
type Answer struct {
	Status     int
	RunState   string
	RetryAfter string
	Body       []byte
	// Text is the concatenated text of a stream.
	Text string
	// Complete reports whether a stream ended with its end marker, or another
	// body was read to its end.
	Complete bool
	// FirstByte and Took are the times from sending the request to the first
	// byte of the response and to its end.
	FirstByte, Took time.Duration
}

// Post sends one request to one instance.
func (c *Caller) Post(ctx context.Context, path string, body []byte, header map[string]string) (*Answer, error) {
	return c.PostFrom(ctx, path, bytes.NewReader(body), len(body), header)
}

// PostFrom sends one request whose body, of the given length in bytes, is read while it is
// sent.
func (c *Caller) PostFrom(ctx context.Context, path string, body io.Reader, length int, header map[string]string) (*Answer, error) {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address()+path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(length)
	req.Header.Set("Authorization", "Bearer "+c.Secret)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &Answer{
		Status:     resp.StatusCode,
		RunState:   resp.Header.Get("X-Run-State"),
		RetryAfter: resp.Header.Get("Retry-After"),
		FirstByte:  time.Since(started),
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = answer.readStream(resp.Body)
	} else {
		answer.Body, err = io.ReadAll(resp.Body)
		answer.Complete = err == nil
	}
	answer.Took = time.Since(started)
	return answer, err
}

func (a *Answer) readStream(body io.Reader) error {
	events := sse.NewReader(body)
	var text strings.Builder
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.Done {
			a.Complete = true
			a.Text = text.String()
			return nil
		}
		text.WriteString(deltaText(event.Raw))
	}
}

func deltaText(raw []byte) string {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	_, data, _ := bytes.Cut(raw, []byte("data: "))
	if json.Unmarshal(bytes.TrimSpace(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// ChatBody returns the body of a chat request for which the harness can compute
// the expected answer.
func ChatBody(model, prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": tokens,
		"stream":     stream,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// MatchesPrompt reports whether the answer is the complete expected answer to the
// prompt.
func (a *Answer) MatchesPrompt(prompt string, tokens int, stream bool) bool {
	want := target.AnswerText(target.ChatPrompt(prompt), tokens)
	if stream {
		return a.Complete && a.Text == want
	}
	var completion struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(a.Body, &completion) != nil || len(completion.Choices) != 1 {
		return false
	}
	return completion.Choices[0].Message.Content == want
}

// String returns a summary of the answer for error messages.
func (a *Answer) String() string {
	return fmt.Sprintf("status=%d run_state=%s complete=%t body=%.200s", a.Status, a.RunState, a.Complete, a.Body)
}

// answerTimeout is how long AwaitServed retries. The list of targets is delayed.
const answerTimeout = 15 * time.Second

// AwaitServed waits until a call is served. The instance then accepts the key and
// knows targets.
func (c *Caller) AwaitServed(ctx context.Context, model string) error {
	const prompt = "ready?"
	limit := time.Now().Add(answerTimeout)
	for {
		answer, err := c.Post(ctx, "/v1/chat/completions", ChatBody(model, prompt, 1, false), nil)
		if err == nil && answer.MatchesPrompt(prompt, 1, false) {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("no call was served within %s: last answer %v: %w", answerTimeout, answer, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}
