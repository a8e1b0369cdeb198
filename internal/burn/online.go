package burn

import "merlintiller/internal/protocol"

// callerErrorCodes are the refusal codes that are not failures of the service: the request
// was invalid, or the caller exceeded its rate.
var callerErrorCodes = map[protocol.Code]bool{
	protocol.CodeBadRequest:   true,
	protocol.CodeTooLarge:     true,
	protocol.CodeUnauthorized: true,
	protocol.CodeKeyWithdrawn: true,
	protocol.CodeForbidden:    true,
	protocol.CodeNotFound:     true,
	protocol.CodeUnknownModel: true,
	protocol.CodeConflict:     true,
	protocol.CodeRateLimited:  true,
	protocol.CodeGone:         true,
}

// CountsTowardObjectives reports whether a call with this refusal (nil if there is none)
// counts toward the objectives. If rejections for exceeding the rate counted, an
// organisation that sends five times its rate would use up its own error budget.
func CountsTowardObjectives(refusal *protocol.Refusal) bool {
	return refusal == nil || !callerErrorCodes[refusal.Code]
}
