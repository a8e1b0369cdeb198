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
	// ExitConflict: another change came first; nothing was changed.
	ExitConflict ExitCode = 3
	// ExitMayHaveTakenEffect: the answer was lost. Run the command again: it
	// finds out, and does nothing twice.
	ExitMayHaveTakenEffect ExitCode = 4
	// ExitUnavailable: no instance could do it now; nothing was changed.
	ExitUnavailable ExitCode = 5
)

// Failure is why a command did not do what it was asked.
type Failure struct {
	Exit    ExitCode
	Message string
	// Next tells what to do.
	Next string
}

// Error gives the message.
func (f *Failure) Error() string { return f.Message }

func fail(exit ExitCode, next, format string, args ...any) *Failure {
	return &Failure{Exit: exit, Message: fmt.Sprintf(format, args...), Next: next}
}

// asFailure turns any error into a failure.
func asFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Exit: ExitFailed, Message: err.Error()}
}

// exitFor maps what an instance answered to an exit code.
func exitFor(code protocol.Code, run protocol.RunState) ExitCode {
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
