package headroom

import (
	"time"

	"merlintiller/internal/protocol"
)

// readingWeight is the weight of a new sample in the mean reading time: some
// eight items follow a change of the batch prompts.
const readingWeight = 0.125

// FirstByte notes how long a batch item at a target took to its first byte:
// about as long as the target read its prompt.
//
// What goes wrong without it: a fixed gap between starts is right for one
// length of prompt only. Items with short prompts then start so seldom that
// most places stay empty, and a night's reports are late although the targets
// are idle.
func (c *Core) FirstByte(id protocol.TargetID, took time.Duration) {
	w, ok := c.windows[id]
	if !ok || took <= 0 {
		return
	}
	if w.reading == 0 {
		w.reading = took
		return
	}
	w.reading += time.Duration(readingWeight * float64(took-w.reading))
}

// reads is the time that the target takes to read a prompt, at most the time
// that the settings assume of a target not known yet.
func (w *window) reads(assumed time.Duration) time.Duration {
	if w.reading == 0 {
		return assumed
	}
	return min(assumed, w.reading)
}
