package itemrun

import (
	"bytes"
	"encoding/json"
	"errors"

	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

// errNotResumed: a target started from the beginning although it was asked to
// resume. Joining the two would repeat the beginning in the result.
var errNotResumed = errors.New("the target did not resume where the stream broke off")

// partial is the answer of an item so far.
type partial struct {
	// Position is how many events have come.
	Position int             `cbor:"1,keyasint"`
	ID       string          `cbor:"2,keyasint"`
	Model    string          `cbor:"3,keyasint"`
	Created  int64           `cbor:"4,keyasint"`
	Text     []byte          `cbor:"5,keyasint"`
	Finish   string          `cbor:"6,keyasint"`
	Usage    json.RawMessage `cbor:"7,keyasint,omitempty"`
}

// chunk is what a result takes from an event.
type chunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

var dataField = []byte("data:")

// payload is the data of an event, which OpenAI's streams put on one line.
func payload(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}

// add takes one event. A stream without positions counts its events.
func (p *partial) add(event sse.Event, resumed bool) error {
	if resumed && event.Position != p.Position+1 {
		return errNotResumed
	}
	var c chunk
	if err := json.Unmarshal(payload(event.Raw), &c); err != nil {
		return err
	}
	p.Position = max(p.Position+1, event.Position)
	p.ID, p.Model, p.Created = c.ID, c.Model, c.Created
	if string(c.Usage) != "null" && len(c.Usage) > 0 {
		p.Usage = c.Usage
	}
	for _, choice := range c.Choices {
		p.Text = append(p.Text, choice.Delta.Content...)
		p.Text = append(p.Text, choice.Text...)
		if choice.FinishReason != nil {
			p.Finish = *choice.FinishReason
		}
	}
	return nil
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type whole struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// body is the answer as if it had not been streamed.
func (p *partial) body(chat bool) ([]byte, error) {
	text := string(p.Text)
	choice := wholeChoice{FinishReason: p.Finish}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return json.Marshal(whole{
		ID: p.ID, Object: object, Created: p.Created, Model: p.Model,
		Choices: []wholeChoice{choice}, Usage: p.Usage,
	})
}

// encode and decodePartial carry the partial answer through batch.Resume.
func (p *partial) encode() ([]byte, error) { return protocol.Marshal(p) }

func decodePartial(data []byte) (*partial, error) {
	p := &partial{}
	return p, protocol.Unmarshal(data, p)
}
