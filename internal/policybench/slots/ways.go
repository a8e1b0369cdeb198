package slots

import (
	"fmt"
	"io"
	"time"

	"merlintiller/internal/coordination/routed/broker"
)

// Way is a way of dividing slots.
type Way struct {
	Name string
	// Brokered asks a broker, or else each instance chooses by itself.
	Brokered bool
	// Calm is the pause of items after one gave way.
	Calm time.Duration
	// SpareFor is how long items leave slots free after one gave way.
	SpareFor time.Duration
	// InOrder serves requests in the order in which they came.
	InOrder bool
	// AllSeeing has one broker for all failure domains, whose messages take no time:
	// no way of dividing can know more.
	AllSeeing bool
}

// Ways are those that are compared; the first is the one in use.
func Ways() []Way {
	return []Way{
		{Name: "broker", Brokered: true, Calm: broker.PauseAfterYield, SpareFor: broker.ReserveAfterYield},
		{Name: "broker, no slots spared", Brokered: true, Calm: broker.PauseAfterYield},
		{Name: "broker, slots spared for 500 ms", Brokered: true, Calm: broker.PauseAfterYield, SpareFor: 500 * time.Millisecond},
		{Name: "broker, no pause of items", Brokered: true, SpareFor: broker.ReserveAfterYield},
		{Name: "broker, in order of arrival", Brokered: true, Calm: broker.PauseAfterYield, SpareFor: broker.ReserveAfterYield, InOrder: true},
		{Name: "counts told every 100 ms"},
		{Name: "one that sees all", Brokered: true, Calm: broker.PauseAfterYield, SpareFor: broker.ReserveAfterYield, AllSeeing: true},
	}
}

func (w Way) divider(p *day) divider {
	if w.Brokered {
		return newBrokered(p, w)
	}
	return newCounted(p)
}

// Days are the kinds of day that are played.
func Days() map[string]Trouble {
	return map[string]Trouble{
		"swings": {},
		"bursts": {Burst: 1.5, Jobs: 4},
		"lost":   {Burst: 1.2, Jobs: 2, Lost: 2},
	}
}

// Run plays each kind of day so many times for each deployment and way, and prints a
// line for each.
func Run(w io.Writer, days int) {
	for _, d := range Deployments() {
		for _, name := range []string{"swings", "bursts", "lost"} {
			for _, way := range Ways() {
				var sum Result
				for seed := range days {
					sum.Add(Play(d, Days()[name], way, uint64(seed)))
				}
				fmt.Fprintf(w, "slots user=%s day=%s way=%q days=%d on_time=%.4f late=%d refused=%d items_in_time=%.4f runs_an_item=%.2f\n",
					d.Name, name, way.Name, days, sum.OnTimeShare(), sum.Late, sum.Refused, sum.DoneShare(),
					float64(sum.Runs)/float64(max(1, sum.Items)))
			}
		}
	}
}
