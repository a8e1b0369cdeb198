package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"unicode/utf8"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// Endpoints are the paths that batch items may use.
var Endpoints = []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings", "/v1/responses"}

// InputLine is one line of an input file in the format of OpenAI's batch API.
type InputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// OutputLine is one line of an output or error file.
type OutputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *OutputResponse `json:"response"`
	Error    *OutputError    `json:"error"`
}

// OutputResponse is the response of the target.
type OutputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// OutputError is the reason why an item has no successful result.
type OutputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LineError reports an invalid line of an input file.
type LineError struct {
	// Line is the line number, counted from 1.
	Line int
	// Field is the invalid field, empty if the whole line is invalid.
	Field  string
	Reason string
}

// Error returns the message for the caller who uploaded the file.
func (e *LineError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}

// maxCustomID limits the length of a custom id in bytes.
const maxCustomID = 512

// parseLine validates one line and returns its item and endpoint.
func parseLine(number int, data []byte) (bulk.Item, string, error) {
	fail := func(field, reason string) (bulk.Item, string, error) {
		return bulk.Item{}, "", &LineError{Line: number, Field: field, Reason: reason}
	}
	if !utf8.Valid(data) {
		return fail("", "is not valid UTF-8")
	}
	var line InputLine
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return fail("", "is not a valid batch request: "+err.Error())
	}
	if decoder.More() {
		return fail("", "contains more than one JSON value")
	}
	if line.CustomID == "" || len(line.CustomID) > maxCustomID {
		return fail("custom_id", fmt.Sprintf("must have 1 to %d bytes", maxCustomID))
	}
	if line.Method != http.MethodPost {
		return fail("method", "must be POST")
	}
	if !slices.Contains(Endpoints, line.URL) {
		return fail("url", "is not a supported endpoint for batch items")
	}
	var body struct {
		Model protocol.ModelName `json:"model"`
	}
	if err := json.Unmarshal(line.Body, &body); err != nil {
		return fail("body", "must be a JSON object")
	}
	if body.Model == "" {
		return fail("body.model", "must be the name of a model")
	}
	return bulk.Item{CustomID: line.CustomID, Model: body.Model, Body: line.Body}, line.URL, nil
}

// outputLine converts a result to a line of the output or error file.
func outputLine(id string, result *bulk.Result) OutputLine {
	line := OutputLine{ID: id, CustomID: result.CustomID}
	if result.Status != 0 {
		line.Response = &OutputResponse{
			StatusCode: result.Status,
			RequestID:  result.RequestID,
			Body:       jsonBody(result.Body),
		}
	}
	if result.Failed() {
		line.Error = &OutputError{Code: string(result.Code), Message: result.Message}
	}
	return line
}

// jsonBody returns a JSON body in compact form and any other body as a JSON
// string, so that the line is valid JSON for every response of a target. A body that is
// not valid UTF-8 is not JSON, though json.Compact accepts it.
func jsonBody(body []byte) json.RawMessage {
	var compact bytes.Buffer
	if len(body) > 0 && utf8.Valid(body) && json.Compact(&compact, body) == nil {
		return compact.Bytes()
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}
