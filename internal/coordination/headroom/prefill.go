package headroom

import (
	"time"

	"merlintiller/internal/protocol"
)

// prefillSampleWeight is the weight of a new sample in the mean prefill time. The
// mean adapts to a change of the batch prompts within about eight items.
const prefillSampleWeight = 0.125

// RecordFirstByte records the time to the first byte of a batch item at a target,
// which is about the prefill time of its prompt.
//
// A fixed gap between the starts of batch items suits only one length of prompt.
// With a gap for long prompts, items with short prompts would start so rarely that
// most slots stay unused, and jobs that run overnight would finish late although
// the targets are idle.
func (c *Core) RecordFirstByte(id protocol.TargetID, took time.Duration) {
	w, ok := c.windows[id]
	if !ok || took <= 0 {
		return
	}
	if w.prefillMean == 0 {
		w.prefillMean = took
		return
	}
	w.prefillMean += time.Duration(prefillSampleWeight * float64(took-w.prefillMean))
}

// prefillEstimate returns the estimated prefill time of a prompt at the target. It
// is at most limit, a time from the settings, and equal to limit while no item has
// shown the prefill time.
func (w *window) prefillEstimate(limit time.Duration) time.Duration {
	if w.prefillMean == 0 {
		return limit
	}
	return min(limit, w.prefillMean)
}
