package policybench

import (
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) { Run(os.Stdout) }

func TestTune(t *testing.T) {
	for _, u := range users() {
		for _, bonus := range []float64{0, 0.1, 0.2, 0.3} {
			for _, full := range []float64{0.6, 0.75, 0.9} {
				w := slotPolicy()
				w.settings.OwnBonus = bonus
				w.settings.NearlyFull = full
				run := rateRun{user: u, length: rateRunLength, policy: w, overload: 2}
				calm := run.run()
				t.Log(u.name, bonus, full, calm.refusedPercent(), "exch/req", float64(calm.exchanges)/float64(calm.requests))
			}
		}
	}
}
func TestWays(t *testing.T) {
	for _, u := range users() {
		base := slotPolicy()
		ways := []ratePolicy{base}
		w := base
		w.name = "no ahead"
		w.settings.Ahead = 0
		ways = append(ways, w)
		w = base
		w.name = "ahead 300ms life 600ms"
		w.settings.Ahead = 300 * time.Millisecond
		w.settings.GrantLife = 600 * time.Millisecond
		ways = append(ways, w)
		w = base
		w.name = "ahead 30ms life 100"
		w.settings.Ahead = 30 * time.Millisecond
		w.settings.GrantLife = 100 * time.Millisecond
		ways = append(ways, w)
		w = base
		w.name = "home only"
		w.homeOnly = true
		ways = append(ways, w)
		w = base
		w.name = "asks 20"
		w.settings.Asks = 20
		ways = append(ways, w)
		for _, w := range ways {
			run := rateRun{user: u, length: rateRunLength, policy: w, overload: 2}
			calm := run.run()
			run.cut, run.kills = true, true
			f := run.run()
			run.cut = false
			k := run.run()
			t.Log(u.name, w.name, calm.refusedPercent(), "cut+kills", f.refusedPercent(), "kills", k.refusedPercent(), "above", calm.above+f.above+k.above, "exch/req", float64(calm.exchanges)/float64(calm.requests), "short", calm.shortPercent)
			t.Log(calm.byOrg)
			t.Log(f.byOrg)
		}
	}
}
