package routed

import (
	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/settings"
)

// newHeldBytes returns the budget of the bytes held for callers, nil if the setting is off.
func newHeldBytes(s *settings.Routed) *answerbuffer.Budget {
	percent := int64(s.Adaptive.AnswerBuffersPercent)
	if percent == 0 {
		return nil
	}
	budget := answerbuffer.NewBudget(percent * int64(s.MemoryMB) * (1 << 20) / 100)
	metrics.GetOrCreateGauge(`held_bytes{kind="answers"}`, func() float64 { return float64(budget.Levels().Answers) })
	metrics.GetOrCreateGauge(`held_bytes{kind="bodies"}`, func() float64 { return float64(budget.Levels().Bodies) })
	metrics.GetOrCreateGauge(`held_bytes_peak{kind="answers"}`, func() float64 { return float64(budget.Peak().Answers) })
	metrics.GetOrCreateGauge(`held_bytes_peak{kind="bodies"}`, func() float64 { return float64(budget.Peak().Bodies) })
	metrics.GetOrCreateGauge("held_bytes_bound", func() float64 { return float64(budget.Levels().Bound) })
	return budget
}

// heldBodiesPercent is the part of the process's memory, in percent, that the bodies of requests may take where no
// setting tells it.
const heldBodiesPercent = 25

// newHeldBodies returns a budget for the bodies of requests alone.
func newHeldBodies(memoryMB int) *answerbuffer.Budget {
	return answerbuffer.NewBudget(heldBodiesPercent * int64(memoryMB) * (1 << 20) / 100)
}
