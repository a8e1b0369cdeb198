package itemrun

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

// errNotResumed is returned if a target starts from the beginning although it was
// asked to resume. Joining the two outputs would repeat the beginning in the
// result.
var errNotResumed = errors.New("the target did not resume at the requested position")

// partialAnswer is the answer of an item as received so far.
type partialAnswer struct {
	// Position is the number of received events.
	Position int `cbor:"1,keyasint"`
	// The other fields contain the corresponding values of the answer.
	ID      string          `cbor:"2,keyasint"`
	Model   string          `cbor:"3,keyasint"`
	Created int64           `cbor:"4,keyasint"`
	Text    []byte          `cbor:"5,keyasint"`
	Finish  string          `cbor:"6,keyasint"`
	Usage   json.RawMessage `cbor:"7,keyasint,omitempty"`
}

// completionEvent contains the fields of a stream event that a result needs.
type completionEvent struct {
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

// errInvalidUTF8 is returned for an answer that is not valid UTF-8, as JSON requires it. The decoder of
// JSON would change it without an error.
var errInvalidUTF8 = errors.New("the answer of the target is not valid UTF-8")

var dataField = []byte("data:")

// payload returns the data of an event, which is on one line in OpenAI's streams.
func payload(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}

// addEvent appends one event. Events without a position are counted. resumed
// reports whether this is the first event of a resumed stream, whose position must
// follow the partial output.
func (p *partialAnswer) addEvent(event sse.Event, resumed bool) error {
	if resumed && event.Position != p.Position+1 {
		return errNotResumed
	}
	data := payload(event.Raw)
	if !utf8.Valid(data) {
		return errInvalidUTF8
	}
	var c completionEvent
	if err := json.Unmarshal(data, &c); err != nil {
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

// completionMessage is the message of a chat completion.
type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionChoice is one choice of a completion. Message is set in chat
// completions, Text in text completions.
type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// completion is the response body of a call that was not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

// body returns the response body that the target would have sent without a stream.
func (p *partialAnswer) body(chat bool) ([]byte, error) {
	text := string(p.Text)
	choice := completionChoice{FinishReason: p.Finish}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return json.Marshal(completion{
		ID: p.ID, Object: object, Created: p.Created, Model: p.Model,
		Choices: []completionChoice{choice}, Usage: p.Usage,
	})
}

// encode encodes the partial answer for batch.Resume; decodePartial decodes it.
func (p *partialAnswer) encode() ([]byte, error) { return protocol.Marshal(p) }

func decodePartial(data []byte) (*partialAnswer, error) {
	p := &partialAnswer{}
	return p, protocol.Unmarshal(data, p)
}
