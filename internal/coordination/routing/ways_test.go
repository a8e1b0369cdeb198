package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// The ways of routing are compared in virtual time: instances in three failure
// domains before ten engines that batch continuously and cache a few prompt
// prefixes each. All figures follow from the seed.

const (
	simStep     = 5 * time.Millisecond
	simLength   = 120 * time.Second
	simPrefixes = 60
	simCached   = 12
	simOutput   = 50.0
	// simHit and simMiss are the work of a prompt in tokens.
	simHit, simMiss = 10.0, 60.0
	simReportLag    = time.Second
)

// way is one way of routing.
type way struct {
	name    string
	opts    Options
	reports bool
	// pick overrides the core.
	pick func(s *sim) *simEngine
}

func ways() []way {
	return []way{
		{name: "random", pick: func(s *sim) *simEngine { return s.engines[s.random.IntN(len(s.engines))] }},
		{name: "own-counts"},
		{name: "own-counts+reports", reports: true},
		{name: "reports-half-life-2s", reports: true, opts: Options{ReportHalfLife: 2 * time.Second}},
		{name: "reports-half-life-8s", reports: true, opts: Options{ReportHalfLife: 8 * time.Second}},
		{name: "affinity-0.5-no-reports", opts: Options{AffinityMargin: 0.5}},
		{name: "affinity-0.25", reports: true, opts: Options{AffinityMargin: 0.25}},
		{name: "affinity-0.5", reports: true, opts: Options{AffinityMargin: 0.5}},
		{name: "affinity-1", reports: true, opts: Options{AffinityMargin: 1}},
		{name: "oracle-least-loaded", pick: (*sim).leastLoaded},
	}
}

type simStream struct {
	begun  time.Time
	prompt float64
	output float64
	choice Choice
	from   *Core
	first  time.Duration
}

type simEngine struct {
	id      protocol.TargetID
	slow    float64
	streams []*simStream
	cache   []uint64
	history []int
}

// speed is tokens per second of each stream: the more there are, the slower.
func (e *simEngine) speed() float64 {
	n := float64(len(e.streams))
	return 100 / (1 + 0.1*max(0, n-1)) / e.slow
}

// prompt is the work of a prompt; the engine caches its prefix.
func (e *simEngine) prompt(prefix uint64) float64 {
	work := simMiss
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		work = simHit
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCached {
		e.cache = e.cache[1:]
	}
	return work
}

type sim struct {
	size
	way     way
	random  *rand.Rand
	now     time.Time
	cores   []*Core
	engines []*simEngine
	first   []time.Duration
	hits    int
}

// size is how many instances stand before how many targets, how many calls come
// a second and how much slower the first target is.
type size struct {
	name               string
	instances, targets int
	rate, slow         float64
	// popular is the part of the calls that have the same prefix.
	popular float64
}

func sizes() []size {
	return []size{
		{"half", 9, 10, 35, 1, 0},
		{"high", 9, 10, 60, 1, 0},
		{"slow-target", 9, 10, 35, 5, 0},
		{"many-instances", 180, 60, 210, 1, 0},
		{"many-instances-popular", 180, 60, 210, 1, 0.4},
		{"many-instances-one-prefix", 180, 60, 210, 1, 0.9},
	}
}

func newSim(w way, of size) *sim {
	s := &sim{size: of, way: w, random: rand.New(rand.NewPCG(7, 7)), now: start}
	domains := []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"}
	var listing external.Listing
	for i := range of.targets {
		e := &simEngine{id: protocol.TargetID(fmt.Sprint("t", i)), slow: 1}
		if i == 0 {
			e.slow = of.slow
		}
		s.engines = append(s.engines, e)
		listing.Targets = append(listing.Targets, external.ListedTarget{ID: e.id, Service: service, Domain: domains[i%3], Address: "a"})
	}
	for i := range of.instances {
		opts := w.opts
		opts.Domain, opts.Seed = domains[i%3], uint64(i)
		core := NewCore(opts)
		core.ApplyListing(s.now, listing)
		s.cores = append(s.cores, core)
	}
	return s
}

func (s *sim) leastLoaded() *simEngine {
	return slices.MinFunc(s.engines, func(a, b *simEngine) int { return len(a.streams) - len(b.streams) })
}

// prefix is drawn so that few prefixes have most of the calls.
func (s *sim) prefix() uint64 {
	if s.random.Float64() < s.popular {
		return 1
	}
	return 1 + uint64(float64(simPrefixes)*math.Pow(s.random.Float64(), 2))
}

func (s *sim) arrive() {
	core := s.cores[s.random.IntN(len(s.cores))]
	prefix := s.prefix()
	stream := &simStream{begun: s.now, output: simOutput * s.random.ExpFloat64(), from: core}
	var engine *simEngine
	if s.way.pick != nil {
		engine = s.way.pick(s)
		stream.from = nil
	} else {
		choice, _ := core.Pick(s.now, coordination.PickRequest{Service: service, Prefix: prefix})
		stream.choice = choice
		engine = s.engine(choice.Target)
	}
	stream.prompt = engine.prompt(prefix)
	if stream.prompt == simHit {
		s.hits++
	}
	engine.streams = append(engine.streams, stream)
}

func (s *sim) engine(id protocol.TargetID) *simEngine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	panic("no such engine")
}

func (s *sim) advance(e *simEngine) {
	work := e.speed() * simStep.Seconds()
	e.streams = slices.DeleteFunc(e.streams, func(st *simStream) bool {
		if st.prompt > 0 {
			st.prompt -= work
			if st.prompt <= 0 {
				st.first = s.now.Sub(st.begun)
				s.first = append(s.first, st.first)
			}
			return false
		}
		st.output -= work
		if st.output > 0 {
			return false
		}
		if st.from != nil {
			st.from.Done(s.now, st.choice, coordination.CallResult{FirstByte: st.first})
		}
		return true
	})
	e.history = append(e.history, len(e.streams))
}

func (s *sim) report() {
	for _, e := range s.engines {
		back := len(e.history) - int(simReportLag/simStep)
		if back < 0 {
			continue
		}
		for _, core := range s.cores {
			core.ApplyReport(s.now, external.Load{Target: e.id, Running: e.history[back], AgeMS: simReportLag.Milliseconds()})
		}
	}
}

// run lets the calls come and gives the time to the first token in
// milliseconds at the quantiles.
func (s *sim) run(quantiles ...float64) []float64 {
	steps := int(simLength / simStep)
	next := 0.0
	for i := range steps {
		s.now = s.now.Add(simStep)
		for next <= float64(i)*simStep.Seconds() {
			s.arrive()
			next += s.random.ExpFloat64() / s.rate
		}
		for _, e := range s.engines {
			s.advance(e)
		}
		if s.way.reports && i%int(time.Second/simStep) == 0 {
			s.report()
		}
	}
	slices.Sort(s.first)
	var out []float64
	for _, q := range quantiles {
		out = append(out, float64(s.first[int(q*float64(len(s.first)-1))].Microseconds())/1000)
	}
	return out
}

// BenchmarkWays prints the time to the first token of each way, at two loads
// and with one slow target.
func BenchmarkWays(b *testing.B) {
	for _, load := range sizes() {
		for _, w := range ways() {
			b.Run(load.name+"/"+w.name, func(b *testing.B) {
				var s *sim
				var figures []float64
				for b.Loop() {
					s = newSim(w, load)
					figures = s.run(0.5, 0.95, 0.99)
				}
				b.ReportMetric(figures[0], "p50-ms")
				b.ReportMetric(figures[1], "p95-ms")
				b.ReportMetric(figures[2], "p99-ms")
				b.ReportMetric(100*float64(s.hits)/float64(len(s.first)), "cached-%")
			})
		}
	}
}

// Routing without reports sees only its own part of the load. This guards the
// choice: with reports the tail must be better than by chance alone, also when
// one target is slow.
func TestRoutingBeatsChance(t *testing.T) {
	for _, of := range []size{sizes()[0], sizes()[2]} {
		all := ways()
		chance := newSim(all[0], of).run(0.99)[0]
		routed := newSim(all[2], of).run(0.99)[0]
		require.Less(t, routed, chance)
	}
}
