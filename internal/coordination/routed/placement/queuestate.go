package placement

import "time"

// QueueState is what a broker estimates for an online request that waits for a slot.
type QueueState struct {
	// Rejected is set if the request cannot get a slot before it stops waiting. OverShare is
	// set if the reason is that its organisation has used its share of the slots.
	Rejected, OverShare bool
	// RoomIn is the time after which a rejected request is expected to get a slot if it is
	// sent again.
	RoomIn time.Duration
	// Expected is the expected wait and Ahead the number of online requests that are served
	// before.
	Expected time.Duration
	Ahead    int
	// FreedPerSecond are the slots that become free and ArrivingPerSecond the requests that
	// arrive at the broker per second.
	FreedPerSecond, ArrivingPerSecond float64
	// Fair is set if slots are divided by the weights of organisations.
	Fair bool
}
