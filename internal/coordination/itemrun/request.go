package itemrun

import (
	"bytes"
	"encoding/json"
	"strings"
)

var (
	jsonTrue     = json.RawMessage("true")
	jsonOne      = json.RawMessage("1")
	includeUsage = json.RawMessage(`{"include_usage":true}`)
)

// isChat tells chat completions from text completions by the path.
func isChat(endpoint string) bool { return strings.HasSuffix(endpoint, "/chat/completions") }

// streamable turns a request's body into one that asks for a stream. ok is
// false if the answer would have several choices, whose events can't be
// resumed by position: such an item runs whole.
func streamable(endpoint string, body []byte) (out []byte, ok bool) {
	if !strings.HasSuffix(endpoint, "/completions") {
		return body, false
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body, false
	}
	if n, set := fields["n"]; set && !bytes.Equal(n, jsonOne) {
		return body, false
	}
	fields["stream"] = jsonTrue
	fields["stream_options"] = includeUsage
	out, err := json.Marshal(fields)
	if err != nil {
		return body, false
	}
	return out, true
}
