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

// isChat reports whether a path is that of chat completions.
func isChat(endpoint string) bool { return strings.HasSuffix(endpoint, "/chat/completions") }

// streamable returns the body of a request, changed to request a stream. If ok is
// false, the body is unchanged and the item runs without a stream: its endpoint
// has no streams, its body is not a JSON object, or its answer may have several
// choices, whose events can't be resumed by position.
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
