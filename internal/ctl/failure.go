package ctl

import (
	"errors"
	"fmt"

	"merlintiller/internal/protocol"
)

// ExitCode is the status that tillerctl exits with.
type ExitCode int

// The exit codes. Scripts rely on them, so they are never renumbered.
const (
	ExitOK ExitCode = 0
	// ExitFailed: the command failed and changed nothing.
	ExitFailed ExitCode = 1
	// ExitBadInput: the command line, a file or a request is wrong.
	ExitBadInput ExitCode = 2
	// ExitConflict: another change was published first; nothing was changed.
	ExitConflict ExitCode = 3
	// ExitMayHaveTakenEffect: the answer was lost. Running the command again shows
	// whether it took effect, and does nothing twice.
	ExitMayHaveTakenEffect ExitCode = 4
	// ExitUnavailable: no instance could carry out the command; nothing was changed.
	ExitUnavailable ExitCode = 5
)

// Failure is the error of a command: its exit code, and what the operator reads.
type Failure struct {
	Exit    ExitCode
	Message string
	// Next says what the operator can do about the failure.
	Next string
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

func fail(exit ExitCode, next, format string, args ...any) *Failure {
	return &Failure{Exit: exit, Message: fmt.Sprintf(format, args...), Next: next}
}

// asFailure converts an error to a Failure, with exit code ExitFailed unless err is one already.
func asFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Exit: ExitFailed, Message: err.Error()}
}

// exitCodeFor maps the error answer of an instance to an exit code.
func exitCodeFor(code protocol.Code, run protocol.RunState) ExitCode {
	if run == protocol.MayHaveRun {
		return ExitMayHaveTakenEffect
	}
	switch code {
	case protocol.CodeConflict:
		return ExitConflict
	case protocol.CodeBadRequest, protocol.CodeTooLarge, protocol.CodeUnknownModel:
		return ExitBadInput
	case protocol.CodePlatformDown, protocol.CodeInstanceStarting, protocol.CodeDraining,
		protocol.CodeOverloaded, protocol.CodeRateLimited, protocol.CodeNoTarget:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}
