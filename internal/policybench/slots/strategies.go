package slots

import (
	"fmt"
	"io"
	"time"

	"merlintiller/internal/coordination/routed/broker"
)

// Strategy is a configuration of how slots are allocated.
type Strategy struct {
	Name string
	// Brokered selects allocation by brokers. Without it, each instance chooses slots
	// by itself.
	Brokered bool
	// PauseAfterYield is the time for which no items are placed after an item has
	// yielded.
	PauseAfterYield time.Duration
	// ReserveAfterYield is the time for which slots are reserved for online requests
	// after an item has yielded.
	ReserveAfterYield time.Duration
	// FIFO serves online requests in order of arrival.
	FIFO bool
	// Forecast starts and preempts items by a forecast of the online requests.
	Forecast bool
	// Ideal has one broker for all failure domains, whose messages take no time. No
	// strategy can have more information.
	Ideal bool
}

// Strategies returns the strategies to compare. The first one is in production use.
func Strategies() []Strategy {
	return []Strategy{
		{Name: "broker", Brokered: true, PauseAfterYield: broker.PauseAfterYield, ReserveAfterYield: broker.ReserveAfterYield},
		{Name: "broker, no slots reserved", Brokered: true, PauseAfterYield: broker.PauseAfterYield},
		{Name: "broker, slots reserved for 500 ms", Brokered: true, PauseAfterYield: broker.PauseAfterYield, ReserveAfterYield: 500 * time.Millisecond},
		{Name: "broker, no pause after a yield", Brokered: true, ReserveAfterYield: broker.ReserveAfterYield},
		{Name: "broker, in order of arrival", Brokered: true, PauseAfterYield: broker.PauseAfterYield, ReserveAfterYield: broker.ReserveAfterYield, FIFO: true},
		{Name: "peer counts every 100 ms"},
		{Name: "ideal broker", Brokered: true, PauseAfterYield: broker.PauseAfterYield, ReserveAfterYield: broker.ReserveAfterYield, Ideal: true},
	}
}

func (s Strategy) newSlotSource(sim *simulation) slotSource {
	if s.Brokered {
		return newBrokerSource(sim, s)
	}
	return newPeerCountSource(sim)
}

// Scenarios returns the scenarios by name.
func Scenarios() map[string]Scenario {
	return map[string]Scenario{
		"swings": {},
		"bursts": {BurstFactor: 1.5, JobFactor: 4},
		"lost":   {BurstFactor: 1.2, JobFactor: 2, LostTargets: 2},
	}
}

// Run simulates each combination of deployment, scenario and strategy the given number
// of times, each time with another seed, and prints one line for each combination.
func Run(w io.Writer, runs int) {
	for _, d := range Deployments() {
		for _, name := range []string{"swings", "bursts", "lost"} {
			for _, strategy := range Strategies() {
				var sum Result
				for seed := range runs {
					sum.Add(Simulate(d, Scenarios()[name], strategy, uint64(seed)))
				}
				fmt.Fprintf(w, "slots user=%s day=%s way=%q days=%d on_time=%.4f late=%d refused=%d items_in_time=%.4f runs_an_item=%.2f\n",
					d.Name, name, strategy.Name, runs, sum.OnTimeShare(), sum.Late, sum.Rejected, sum.ItemsOnTimeShare(),
					float64(sum.Runs)/float64(max(1, sum.Items)))
			}
		}
	}
}
