// Package headroom hands out places for batch items beside the online traffic,
// and takes them back at once when online traffic needs them.
//
// Engines know no priorities and admit requests as they come, so how much batch
// is let in is all the priority there is. Each target has one instance that
// feeds it batch items (Feeder), and that instance keeps a window for it: the
// slots less the online calls in flight. Its own online calls count at once,
// those of other instances when the target's lagging report shows them. When
// the window shrinks below what is placed, the newest items are revoked: they
// have the least to lose, and their partial output is kept for a resume.
package headroom
