package httpresponse

import (
	"errors"
	"fmt"
	"net/http"
)

// Part is the part of a response that is malformed. Its values appear in logs and metrics.
type Part string

const (
	// PartStatus: the status code is below 100.
	PartStatus Part = "status"
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
// again then.
func Check(response *http.Response) error {
	if response.StatusCode < lowestStatus {
		return &MalformedError{Part: PartStatus, Detail: quote(response.Status)}
	}
	return nil
}

// quote escapes the beginning of a text.
func quote(text string) string { return fmt.Sprintf("%q", text[:min(len(text), maxQuoted)]) }
