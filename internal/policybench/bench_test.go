package policybench

import (
	"fmt"
	"merlintiller/internal/coordination/headroom"
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

func TestDiag(t *testing.T) {
	u := users()[0]
	run := servingRun{user: u, length: servingLength, online: true, bursts: true, overload: -1, headroom: headroom.Defaults()}
	show := func(name string, r servingResult) {
		t.Log(name, "n", len(r.firstToken), "refused", r.refused, "ft p50", quantile(r.firstToken, .5), "p90", quantile(r.firstToken, .9), "p99", quantile(r.firstToken, .99), "p999", quantile(r.firstToken, .999),
			"bt p50", quantile(r.between, .5), "p95", quantile(r.between, .95), "batch", r.batchUseful/r.oracle, "rev", r.revoked)
	}
	show("alone", run.run())
	run.batch = batchYields
	show("yields", run.run())
	for _, v := range [][6]int{{10, 80, 80, 50, 12, 5}, {10, 80, 80, 50, 12, 5}, {2, 80, 80, 50, 12, 5}, {2, 80, 80, 50, 12, -5}, {2, 80, 80, 50, 12, 5}} {
		run.blind = v[5] < 0
		v[5] = max(v[5], -v[5])
		run.headroom.Tick = time.Duration(v[0]) * time.Millisecond
		run.headroom.Young = time.Duration(v[1]) * time.Millisecond
		run.headroom.StartGap = time.Duration(v[2]) * time.Millisecond
		run.headroom.QuietBefore = time.Duration(v[3]) * time.Millisecond
		run.headroom.GrowPart = float64(v[4]) / 100
		run.headroom.Spare = float64(v[5]) / 100
		r := run.run()
		show(fmt.Sprint(v, r.wastedPercent()), r)
	}
}
