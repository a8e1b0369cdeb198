package placement

import "context"

// Incarnations knows which processes of targets run.
type Incarnations interface {
	// Running returns the start of the process that runs at a target, for the start that is listed, false if none
	// answers.
	Running(ctx context.Context, target, address string, listed int64) (started int64, ok bool)
}

// StartOf returns the start of the process that a request for a chosen target goes to, false if none answers. Without
// known incarnations it is the listed one.
func StartOf(ctx context.Context, known Incarnations, choice Choice) (started int64, ok bool) {
	if known == nil {
		return choice.Started, true
	}
	return known.Running(ctx, choice.ID, choice.Address, choice.Started)
}
