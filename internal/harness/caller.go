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

// callTimeout bounds a call of the harness, far above any deadline in it.
const callTimeout = 60 * time.Second

// Caller sends online calls as a caller would, through all instances in turn.
type Caller struct {
	Secret    string
	addresses func() []string
	next      atomic.Uint64
	client    *http.Client
}

// NewCaller returns a caller. addresses gives the instances behind the
// platform's balancer now.
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
	// Text is the joined text of a stream.
	Text string
	// Whole says that a stream came with its end mark.
	Whole bool
	// FirstByte and Took are times since the request was sent.
	FirstByte, Took time.Duration
}

// Post sends one request to one instance.
func (c *Caller) Post(ctx context.Context, path string, body []byte, header map[string]string) (*Answer, error) {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
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
		answer.Whole = err == nil
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
			a.Whole = true
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

// ChatBody is a chat request whose whole answer the harness knows beforehand.
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

// IsOwnAnswer reports whether the answer is the whole one to the prompt.
func (a *Answer) IsOwnAnswer(prompt string, tokens int, stream bool) bool {
	want := target.AnswerText(target.ChatPrompt(prompt), tokens)
	if stream {
		return a.Whole && a.Text == want
	}
	var whole struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(a.Body, &whole) != nil || len(whole.Choices) != 1 {
		return false
	}
	return whole.Choices[0].Message.Content == want
}

// String sums the answer up for an error message.
func (a *Answer) String() string {
	return fmt.Sprintf("status=%d run_state=%s whole=%t body=%.200s", a.Status, a.RunState, a.Whole, a.Body)
}

// answerPatience is how long AwaitAnswer tries: the targets' list lags.
const answerPatience = 15 * time.Second

// AwaitAnswer waits until a call is served: the key is in force and targets
// are known.
func (c *Caller) AwaitAnswer(ctx context.Context, model string) error {
	const prompt = "ready?"
	limit := time.Now().Add(answerPatience)
	for {
		answer, err := c.Post(ctx, "/v1/chat/completions", ChatBody(model, prompt, 1, false), nil)
		if err == nil && answer.IsOwnAnswer(prompt, 1, false) {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("no answer within %s: %v %w", answerPatience, answer, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}
