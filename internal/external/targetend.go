package external

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// TargetEnd says what the target did when an exchange with it failed. Its values appear in logs.
type TargetEnd string

const (
	// EndAnswered: the target answered, with a status that ended the exchange.
	EndAnswered TargetEnd = "answered"
	// EndRefused: nothing listens at the target's address.
	EndRefused TargetEnd = "refused"
	// EndReset and EndClosed: the target reset or closed the connection.
	EndReset  TargetEnd = "reset"
	EndClosed TargetEnd = "closed"
	// EndSilent: the target did not answer in time.
	EndSilent TargetEnd = "silent"
	// EndLeft: this instance closed the connection, to fail over or because the target was silent.
	EndLeft TargetEnd = "left"
	// EndMalformed: the target sent something that is no answer.
	EndMalformed TargetEnd = "malformed"
	// EndOversized: the target sent more bytes than an answer may have.
	EndOversized TargetEnd = "oversized"
)

// ErrTooLarge reports that a target sent more bytes than an answer, or a part of it, may have. A faulty
// target may send bytes without end.
var ErrTooLarge = errors.New("answer is too large")

// ErrNoEvent reports a stream that ended with its connection before its first event. A target that
// ends at that moment leaves the same, so it does not count as complete.
var ErrNoEvent = fmt.Errorf("stream ended with its connection before its first event: %w", io.ErrUnexpectedEOF)

// EndOf returns what the target did, from the error of an exchange.
func EndOf(err error) TargetEnd {
	switch {
	case errors.Is(err, ErrTooLarge):
		return EndOversized
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrNoProcess):
		return EndRefused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndReset
	case errors.Is(err, net.ErrClosed):
		return EndLeft
	case errors.Is(err, os.ErrDeadlineExceeded):
		return EndSilent
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndClosed
	default:
		return EndMalformed
	}
}
