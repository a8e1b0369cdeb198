package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// request holds the fields of a chat or text completion request that the target reads.
type request struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Prompt        any       `json:"prompt"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// text returns the prompt text. The answer depends on nothing else.
func (q *request) text() string {
	var b strings.Builder
	for _, m := range q.Messages {
		fmt.Fprintf(&b, "%s:%s\n", m.Role, contentText(m.Content))
	}
	if q.Prompt != nil {
		b.WriteString(contentText(q.Prompt))
	}
	return b.String()
}

func contentText(content any) string {
	switch c := content.(type) {
	case string:
		return c
	case []any:
		var b strings.Builder
		for _, part := range c {
			if fields, ok := part.(map[string]any); ok {
				part = fields["text"]
			}
			fmt.Fprint(&b, part)
		}
		return b.String()
	default:
		return ""
	}
}

// tokens returns the number of tokens to generate.
func (q *request) tokens(defaultTokens int) int {
	switch {
	case q.MaxCompletionTokens > 0:
		return q.MaxCompletionTokens
	case q.MaxTokens > 0:
		return q.MaxTokens
	default:
		return defaultTokens
	}
}

// ChatPrompt returns the prompt text of a chat with a single user message, as
// AnswerText and Token take it.
func ChatPrompt(content string) string { return "user:" + content + "\n" }

// Token returns token i of the answer to a prompt. It contains a hash of the prompt
// and the index, so that a caller can check that the answer is its own and
// complete.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%016x.%d ", xxhash.Sum64String(prompt), i)
}

// AnswerText returns the complete answer of n tokens to a prompt.
func AnswerText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         string         `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

var stopReason = "stop"

// generation is an answer that is being generated.
type generation struct {
	target  *Target
	request request
	isChat  bool
	prompt  string
	tokens  int
	id      string
}

func (t *Target) chat(w http.ResponseWriter, r *http.Request, body []byte, faults Faults) {
	g := generation{target: t, isChat: strings.Contains(r.URL.Path, "chat")}
	if err := json.Unmarshal(body, &g.request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.prompt = g.request.text()
	g.tokens = g.request.tokens(t.cfg.Tokens)
	g.id = fmt.Sprintf("cmpl-%016x", xxhash.Sum64String(g.prompt))
	t.countExecution(r.Header.Get(HeaderCallID), body)
	t.addCacheEvent(xxhash.Sum64String(g.prompt))
	if !pause(r, t.cfg.PrefillTime) {
		return
	}
	if g.request.Stream {
		g.stream(w, r, faults)
		return
	}
	g.writeCompletion(w, r, faults)
}

// tokenTime returns the current time per token, which grows with the calls in flight.
func (t *Target) tokenTime() time.Duration {
	others := time.Duration(max(0, t.InFlight()-1))
	return t.cfg.TokenTime + others*t.cfg.TokenTimePerStream
}

func (g *generation) writeCompletion(w http.ResponseWriter, r *http.Request, faults Faults) {
	for range g.tokens {
		if !pause(r, g.target.tokenTime()) {
			return
		}
	}
	if faults.LoseAnswer {
		abortConnection()
	}
	answer := g.answer("chat.completion", "text_completion")
	c := choice{FinishReason: &stopReason}
	text := AnswerText(g.prompt, g.tokens)
	if g.isChat {
		c.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	answer.Choices = []choice{c}
	answer.Usage = g.usage()
	if faults.CutAfter > 0 {
		w.Header().Set("Content-Length", "1000000")
		writeJSON(w, answer)
		abortConnection()
	}
	writeJSON(w, answer)
}

func (g *generation) answer(chat, text string) completion {
	object := text
	if g.isChat {
		object = chat
	}
	return completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.request.Model, Choices: []choice{}}
}

func (g *generation) usage() *usage {
	prompt := len(strings.Fields(g.prompt))
	return &usage{PromptTokens: prompt, CompletionTokens: g.tokens, TotalTokens: prompt + g.tokens}
}

func (g *generation) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	from, _ := strconv.Atoi(r.Header.Get(HeaderResumeAt))
	if faults.IgnoreResume {
		from = 0
	}
	if faults.LoseAnswer {
		abortConnection()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := max(0, from); i < g.tokens; i++ {
		if !pause(r, g.target.tokenTime()) {
			return
		}
		if !g.applyStreamFaults(r, faults, i) {
			return
		}
		g.writeEvent(w, i+1, g.tokenChunk(i))
	}
	if from <= g.tokens {
		g.writeEvent(w, g.tokens+1, g.finishChunk())
	}
	if g.request.StreamOptions.IncludeUsage {
		last := g.answer("chat.completion.chunk", "text_completion")
		last.Usage = g.usage()
		g.writeEvent(w, g.tokens+2, last)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// applyStreamFaults applies the faults that are due before token i. It returns
// false if no further tokens are to be sent.
func (g *generation) applyStreamFaults(r *http.Request, faults Faults, i int) bool {
	if faults.CutAfter > 0 && i == faults.CutAfter {
		abortConnection()
	}
	if faults.HoldAfter > 0 && i == faults.HoldAfter {
		return g.target.waitForFaults(r)
	}
	return faults.EndAfter == 0 || i < faults.EndAfter
}

func (g *generation) tokenChunk(i int) completion {
	chunk := g.answer("chat.completion.chunk", "text_completion")
	c := choice{}
	if g.isChat {
		c.Delta = &answerMessage{Content: Token(g.prompt, i)}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = Token(g.prompt, i)
	}
	chunk.Choices = []choice{c}
	return chunk
}

func (g *generation) finishChunk() completion {
	chunk := g.answer("chat.completion.chunk", "text_completion")
	c := choice{FinishReason: &stopReason}
	if g.isChat {
		c.Delta = &answerMessage{}
	}
	chunk.Choices = []choice{c}
	return chunk
}

// writeEvent writes one server-sent event. Its id is the number of events that the
// caller has received with it, which is the position to resume the stream at.
func (g *generation) writeEvent(w http.ResponseWriter, position int, chunk completion) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", position, data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
