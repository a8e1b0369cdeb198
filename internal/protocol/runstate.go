package protocol

import (
	"fmt"
	"net/http"
	"time"
)

// RunState says what is known of the effect of a call. It is a value that
// travels with every answer, because "not run" must be true when it is said.
type RunState string

const (
	// NotRun: no byte of the call reached a target, or the target itself said
	// that it did not begin. The caller may send the call again.
	NotRun RunState = "not_run"
	// MayHaveRun: bytes left for a target and no whole answer came back.
	MayHaveRun RunState = "may_have_run"
	// Completed: the whole answer is known.
	Completed RunState = "completed"
)

// Code is the stable, machine-readable name of a refusal or failure.
type Code string

// The codes callers and operators see. They are never renamed.
const (
	CodeBadRequest        Code = "bad_request"
	CodeTooLarge          Code = "too_large"
	CodeUnauthorized      Code = "unauthorized"
	CodeKeyWithdrawn      Code = "key_withdrawn"
	CodeForbidden         Code = "forbidden"
	CodeNotFound          Code = "not_found"
	CodeUnknownModel      Code = "model_not_found"
	CodeConflict          Code = "conflict"
	CodeRateLimited       Code = "rate_limited"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline_exceeded"
	CodeNoTarget          Code = "no_target"
	CodeTargetFailed      Code = "target_failed"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodePlatformDown      Code = "platform_unavailable"
	CodeDraining          Code = "draining"
	CodeInstanceStarting  Code = "instance_starting"
	CodeMayHaveTakenEffect Code = "may_have_taken_effect"
	CodeGone              Code = "gone"
	CodeInternal          Code = "internal"
)

// Refusal is the final answer to a call that was given up on. It is a value,
// not a panic, and is sent to the caller at once.
type Refusal struct {
	// Code is the stable name of the cause.
	Code Code
	// Message is one sentence for a person. It holds no secret.
	Message string
	// Run says whether the call may have had an effect.
	Run RunState
	// RetryAfter tells the caller when to come back. Zero: do not retry.
	RetryAfter time.Duration
	// Param names the offending field of a request, if one is at fault.
	Param string
}

// Error makes a Refusal usable as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run)
}

// Refuse builds a refusal of a call that did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun, RetryAfter: retryAfter}
}

// Uncertain builds the final answer of a call that may have run.
func Uncertain(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: MayHaveRun}
}

var statusByCode = map[Code]int{
	CodeBadRequest:        http.StatusBadRequest,
	CodeTooLarge:          http.StatusRequestEntityTooLarge,
	CodeUnauthorized:      http.StatusUnauthorized,
	CodeKeyWithdrawn:      http.StatusUnauthorized,
	CodeForbidden:         http.StatusForbidden,
	CodeNotFound:          http.StatusNotFound,
	CodeUnknownModel:      http.StatusNotFound,
	CodeConflict:          http.StatusConflict,
	CodeRateLimited:       http.StatusTooManyRequests,
	CodeOverloaded:        http.StatusServiceUnavailable,
	CodeDeadline:          http.StatusGatewayTimeout,
	CodeNoTarget:          http.StatusServiceUnavailable,
	CodeTargetFailed:      http.StatusBadGateway,
	CodeOutcomeUnknown:    http.StatusConflict,
	CodePlatformDown:      http.StatusServiceUnavailable,
	CodeDraining:          http.StatusServiceUnavailable,
	CodeInstanceStarting:  http.StatusServiceUnavailable,
	CodeMayHaveTakenEffect: http.StatusGatewayTimeout,
	CodeGone:              http.StatusGone,
	CodeInternal:          http.StatusInternalServerError,
}

// HTTPStatus gives the status line that goes with the code. An unknown code is
// an internal error.
func (c Code) HTTPStatus() int {
	status, ok := statusByCode[c]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}
