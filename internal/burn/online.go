package burn

import "merlintiller/internal/protocol"

// callersOwn are the refusals that say nothing of the service: the caller
// asked for something wrong, or for more than its rate.
var callersOwn = map[protocol.Code]bool{
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

// CountsTowardObjectives reports whether a call with this refusal, nil if it had none, is one
// that the objectives are about. An organisation that sends five times its
// rate would otherwise burn its own allowance.
func CountsTowardObjectives(refusal *protocol.Refusal) bool {
	return refusal == nil || !callersOwn[refusal.Code]
}
