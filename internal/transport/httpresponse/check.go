package httpresponse

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Part is the part of a response that is malformed. Its values appear in logs and metrics.
type Part string

const (
	// PartStatus: the status code is below 100.
	PartStatus Part = "status"
	// PartFieldName: the name of a header field is no token.
	PartFieldName Part = "field_name"
)

// MalformedError reports a response that is no valid HTTP. The request may have been executed.
type MalformedError struct {
	Part Part
	// Detail is the offending text, escaped and of bounded length.
	Detail string
}

// Error describes what is malformed.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed HTTP response: %s: %s", e.Part, e.Detail)
}

// IsMalformed reports whether an error is that of a malformed response.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

const (
	// lowestStatus is the lowest valid status code. net/http accepts any three digits, and a sign with two.
	lowestStatus = 100
	// maxQuoted bounds what an error quotes of a response, in bytes.
	maxQuoted = 64
)

// Check returns a *MalformedError if a response that net/http has read is no valid HTTP. The connection must not be used
// again then: a header field that was not recognised may have determined where the response ends.
func Check(response *http.Response) error {
	if response.StatusCode < lowestStatus {
		return &MalformedError{Part: PartStatus, Detail: quote(response.Status)}
	}
	for name := range response.Header {
		if !isToken(name) {
			return &MalformedError{Part: PartFieldName, Detail: quote(name)}
		}
	}
	return nil
}

// tokenSymbols are the characters of a token that are neither letters nor digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether a field name is a token. net/http accepts blanks in it.
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', strings.IndexByte(tokenSymbols, c) >= 0:
		default:
			return false
		}
	}
	return name != ""
}

// quote escapes the beginning of a text.
func quote(text string) string { return fmt.Sprintf("%q", text[:min(len(text), maxQuoted)]) }
