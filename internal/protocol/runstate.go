package protocol

import (
	"fmt"
	"net/http"
	"time"
)

// RunState describes whether a call may have had an effect. It is part of every answer.
// An answer may say "not run" only if that is certain, because callers then send the
// call again.
type RunState string

const (
	// NotRun: no byte of the call reached a target, or the target itself reported
	// that it did not start the call. The caller may send the call again.
	NotRun RunState = "not_run"
	// MayHaveRun: bytes were sent to a target and no complete answer was received.
	MayHaveRun RunState = "may_have_run"
	// Completed: the complete answer was received.
	Completed RunState = "completed"
)

// Code is the stable, machine-readable name of a refusal or failure.
type Code string

// Codes in answers to callers and operators. Their values never change.
const (
	CodeBadRequest         Code = "bad_request"
	CodeTooLarge           Code = "too_large"
	CodeUnauthorized       Code = "unauthorized"
	CodeKeyWithdrawn       Code = "key_withdrawn"
	CodeForbidden          Code = "forbidden"
	CodeNotFound           Code = "not_found"
	CodeUnknownModel       Code = "model_not_found"
	CodeConflict           Code = "conflict"
	CodeRateLimited        Code = "rate_limited"
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline_exceeded"
	CodeNoTarget           Code = "no_target"
	CodeTargetFailed       Code = "target_failed"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodePlatformDown       Code = "platform_unavailable"
	CodeDraining           Code = "draining"
	CodeInstanceStarting   Code = "instance_starting"
	CodeMayHaveTakenEffect Code = "may_have_taken_effect"
	CodeGone               Code = "gone"
	CodeConnectionIdle     Code = "connection_idle"
	CodeInternal           Code = "internal"
)

// Refusal is the final answer to a call that was rejected or abandoned. It is sent to
// the caller immediately.
type Refusal struct {
	// Code is the stable name of the cause.
	Code Code
	// Message is one human-readable sentence. It contains no secrets.
	Message string
	// Run reports whether the call may have had an effect.
	Run RunState
	// RetryAfter is the time after which the caller may retry. Zero: do not retry.
	RetryAfter time.Duration
	// Param is the name of the invalid field of the request, if there is one.
	Param string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run)
}

// Refuse returns a refusal of a call that did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun, RetryAfter: retryAfter}
}

// Uncertain returns the final answer to a call that may have run.
func Uncertain(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: MayHaveRun}
}

var statusByCode = map[Code]int{
	CodeBadRequest:         http.StatusBadRequest,
	CodeTooLarge:           http.StatusRequestEntityTooLarge,
	CodeUnauthorized:       http.StatusUnauthorized,
	CodeKeyWithdrawn:       http.StatusUnauthorized,
	CodeForbidden:          http.StatusForbidden,
	CodeNotFound:           http.StatusNotFound,
	CodeUnknownModel:       http.StatusNotFound,
	CodeConflict:           http.StatusConflict,
	CodeRateLimited:        http.StatusTooManyRequests,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeDeadline:           http.StatusGatewayTimeout,
	CodeNoTarget:           http.StatusServiceUnavailable,
	CodeTargetFailed:       http.StatusBadGateway,
	CodeOutcomeUnknown:     http.StatusConflict,
	CodePlatformDown:       http.StatusServiceUnavailable,
	CodeDraining:           http.StatusServiceUnavailable,
	CodeInstanceStarting:   http.StatusServiceUnavailable,
	CodeMayHaveTakenEffect: http.StatusGatewayTimeout,
	CodeGone:               http.StatusGone,
	CodeConnectionIdle:     http.StatusRequestTimeout,
	CodeInternal:           http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status for the code. For an unknown code it returns that
// of an internal error.
func (c Code) HTTPStatus() int {
	status, ok := statusByCode[c]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}
