package roster

import "time"

// ListState tells how recent a list of targets is.
type ListState struct {
	// Mark is the offset in the store up to which the list has been applied. Of two lists the
	// one with the larger mark is the newer, whichever instance read it. 0: unknown.
	Mark int64
	// Age is the time since the list was known to be current.
	Age time.Duration
}

// ListedState is the state in which a target is listed. Its values appear in logs.
type ListedState string

// States of a target in a list.
const (
	ListedReady   ListedState = "ready"
	ListedLeaving ListedState = "leaving"
	// ListedBefore is the state of a target whose entry was removed lately.
	ListedBefore ListedState = "removed"
	NeverListed  ListedState = "unlisted"
)
