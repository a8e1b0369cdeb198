package placement

import (
	"context"
	"time"
)

// Incarnations knows which processes of targets run.
type Incarnations interface {
	// Running returns the start of the process that runs at a target, for the start that is listed, false if none
	// answers.
	Running(ctx context.Context, target, address string, listed int64) (started int64, ok bool)
	// ShowsLife reports whether a target has sent something since some time, or answers now.
	ShowsLife(ctx context.Context, target, address string, since time.Time) bool
}

// MayRepeatAt reports whether a request that was sent to another target before, at some time, may be sent to a chosen one:
// that has to have shown life since. A request that waits in the socket of a target that stands still has more time than
// is left when the target reads it, and may have been answered elsewhere by then.
func MayRepeatAt(ctx context.Context, known Incarnations, choice Choice, sentBefore time.Time) bool {
	return known == nil || sentBefore.IsZero() || known.ShowsLife(ctx, choice.ID, choice.Address, sentBefore)
}

// StartOf returns the start of the process that a request for a chosen target goes to, false if none answers. Without
// known incarnations it is the listed one.
func StartOf(ctx context.Context, known Incarnations, choice Choice) (started int64, ok bool) {
	if known == nil {
		return choice.Started, true
	}
	return known.Running(ctx, choice.ID, choice.Address, choice.Started)
}
