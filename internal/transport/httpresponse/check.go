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
	// PartVersion: the version of the protocol is not one of HTTP/1.
	PartVersion Part = "version"
	// PartStatus: the status code is below 100, or announces another protocol, which no client of this project asks for.
	PartStatus Part = "status"
	// PartFieldName: the name of a header field is no token.
	PartFieldName Part = "field_name"
	// PartHead: net/http could not read the head.
	PartHead Part = "head"
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

// Unreadable returns the error of a response whose head net/http could not read, for another reason than that reading from
// the connection failed.
func Unreadable(err error) error {
	return &MalformedError{Part: PartHead, Detail: BoundText(err).Error()}
}

// Check returns a *MalformedError if a response that net/http has read is no valid HTTP. The connection must not be used
// again then: a header field that was not recognised may have determined where the response ends.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return &MalformedError{Part: PartVersion, Detail: quote(response.Proto)}
	}
	if response.StatusCode < lowestStatus || response.StatusCode == http.StatusSwitchingProtocols {
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

// maxErrorText bounds the text of an error in bytes.
const maxErrorText = 256

// boundedError is an error with a bounded text.
type boundedError struct{ error }

// Error returns the beginning of the text.
func (e boundedError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorText)]
}

// Unwrap returns the error itself.
func (e boundedError) Unwrap() error { return e.error }

// BoundText bounds the text of an error of net/http, which quotes whole lines of a head.
func BoundText(err error) error {
	if len(err.Error()) <= maxErrorText {
		return err
	}
	return boundedError{err}
}
