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

// The simulation compares routing strategies in virtual time. Instances in three
// failure domains send calls to 10 or 60 engines, which use continuous batching
// and cache a few prompt prefixes each. All results are determined by the seed.

const (
	simStep     = 5 * time.Millisecond
	simDuration = 120 * time.Second
	// simPrefixes is the number of different prompt prefixes, and simCacheSize
	// the number that one engine caches.
	simPrefixes  = 60
	simCacheSize = 12
	// simMeanOutput is the mean length of an answer in tokens.
	simMeanOutput = 50.0
	// promptWorkCached and promptWorkUncached are the work of a prompt in tokens,
	// with its prefix in the engine's cache and without.
	promptWorkCached, promptWorkUncached = 10.0, 60.0
	simReportLag                         = time.Second
)

// strategy is a routing strategy.
type strategy struct {
	name string
	opts Options
	// reports says whether the cores get load reports.
	reports bool
	// pick replaces Core.Pick if it is set.
	pick func(s *sim) *simEngine
}

func strategies() []strategy {
	return []strategy{
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
	startedAt time.Time
	// prompt and output are the remaining work in tokens.
	prompt float64
	output float64
	choice Choice
	// core made the choice. It is nil if the strategy replaces Core.Pick.
	core       *Core
	firstToken time.Duration
}

type simEngine struct {
	id         protocol.TargetID
	slowFactor float64
	streams    []*simStream
	// cache holds the cached prefixes, the least recently used one first.
	cache []uint64
	// history holds the number of streams after each step.
	history []int
}

// tokensPerSecond returns the speed of each stream. It falls with the number of
// streams.
func (e *simEngine) tokensPerSecond() float64 {
	n := float64(len(e.streams))
	return 100 / (1 + 0.1*max(0, n-1)) / e.slowFactor
}

// promptWork returns the work of a prompt in tokens and adds its prefix to the
// engine's cache.
func (e *simEngine) promptWork(prefix uint64) float64 {
	work := promptWorkUncached
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		work = promptWorkCached
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCacheSize {
		e.cache = e.cache[1:]
	}
	return work
}

type sim struct {
	scenario
	strategy    strategy
	random      *rand.Rand
	now         time.Time
	cores       []*Core
	engines     []*simEngine
	firstTokens []time.Duration
	cacheHits   int
}

// scenario defines the size and the load of a simulated fleet.
type scenario struct {
	name               string
	instances, targets int
	// rate is the number of calls per second. slowFactor is the factor by which
	// the first target is slower than the others.
	rate, slowFactor float64
	// popular is the share of the calls that have the same prefix.
	popular float64
}

func scenarios() []scenario {
	return []scenario{
		{"half", 9, 10, 35, 1, 0},
		{"high", 9, 10, 60, 1, 0},
		{"slow-target", 9, 10, 35, 5, 0},
		{"many-instances", 180, 60, 210, 1, 0},
		{"many-instances-popular", 180, 60, 210, 1, 0.4},
		{"many-instances-one-prefix", 180, 60, 210, 1, 0.9},
	}
}

func newSim(st strategy, sc scenario) *sim {
	s := &sim{scenario: sc, strategy: st, random: rand.New(rand.NewPCG(7, 7)), now: start}
	domains := []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"}
	var listing external.Listing
	for i := range sc.targets {
		e := &simEngine{id: protocol.TargetID(fmt.Sprint("t", i)), slowFactor: 1}
		if i == 0 {
			e.slowFactor = sc.slowFactor
		}
		s.engines = append(s.engines, e)
		listing.Targets = append(listing.Targets, external.ListedTarget{ID: e.id, Service: service, Domain: domains[i%3], Address: "a"})
	}
	for i := range sc.instances {
		opts := st.opts
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

// prefix returns a random prefix. Its distribution is skewed, so that few
// prefixes have most of the calls.
func (s *sim) prefix() uint64 {
	if s.random.Float64() < s.popular {
		return 1
	}
	return 1 + uint64(float64(simPrefixes)*math.Pow(s.random.Float64(), 2))
}

func (s *sim) arrive() {
	core := s.cores[s.random.IntN(len(s.cores))]
	prefix := s.prefix()
	stream := &simStream{startedAt: s.now, output: simMeanOutput * s.random.ExpFloat64(), core: core}
	var engine *simEngine
	if s.strategy.pick != nil {
		engine = s.strategy.pick(s)
		stream.core = nil
	} else {
		choice, _ := core.Pick(s.now, coordination.PickRequest{Service: service, Prefix: prefix})
		stream.choice = choice
		engine = s.engine(choice.Target)
	}
	stream.prompt = engine.promptWork(prefix)
	if stream.prompt == promptWorkCached {
		s.cacheHits++
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
	work := e.tokensPerSecond() * simStep.Seconds()
	e.streams = slices.DeleteFunc(e.streams, func(st *simStream) bool {
		if st.prompt > 0 {
			st.prompt -= work
			if st.prompt <= 0 {
				st.firstToken = s.now.Sub(st.startedAt)
				s.firstTokens = append(s.firstTokens, st.firstToken)
			}
			return false
		}
		st.output -= work
		if st.output > 0 {
			return false
		}
		if st.core != nil {
			st.core.Done(s.now, st.choice, coordination.CallResult{FirstByte: st.firstToken})
		}
		return true
	})
	e.history = append(e.history, len(e.streams))
}

func (s *sim) report() {
	for _, e := range s.engines {
		lagged := len(e.history) - int(simReportLag/simStep)
		if lagged < 0 {
			continue
		}
		for _, core := range s.cores {
			core.ApplyReport(s.now, external.Load{Target: e.id, Running: e.history[lagged], AgeMS: simReportLag.Milliseconds()})
		}
	}
}

// run simulates the scenario. It returns the given quantiles of the time to the
// first token, in milliseconds.
func (s *sim) run(quantiles ...float64) []float64 {
	steps := int(simDuration / simStep)
	nextArrival := 0.0
	for i := range steps {
		s.now = s.now.Add(simStep)
		for nextArrival <= float64(i)*simStep.Seconds() {
			s.arrive()
			nextArrival += s.random.ExpFloat64() / s.rate
		}
		for _, e := range s.engines {
			s.advance(e)
		}
		if s.strategy.reports && i%int(time.Second/simStep) == 0 {
			s.report()
		}
	}
	slices.Sort(s.firstTokens)
	var out []float64
	for _, q := range quantiles {
		out = append(out, float64(s.firstTokens[int(q*float64(len(s.firstTokens)-1))].Microseconds())/1000)
	}
	return out
}

// BenchmarkStrategies reports the time to the first token and the share of
// cached prompts for each scenario and strategy.
func BenchmarkStrategies(b *testing.B) {
	for _, sc := range scenarios() {
		for _, strategy := range strategies() {
			b.Run(sc.name+"/"+strategy.name, func(b *testing.B) {
				var s *sim
				var latencies []float64
				for b.Loop() {
					s = newSim(strategy, sc)
					latencies = s.run(0.5, 0.95, 0.99)
				}
				b.ReportMetric(latencies[0], "p50-ms")
				b.ReportMetric(latencies[1], "p95-ms")
				b.ReportMetric(latencies[2], "p99-ms")
				b.ReportMetric(100*float64(s.cacheHits)/float64(len(s.firstTokens)), "cached-%")
			})
		}
	}
}

// Without load reports, an instance sees only its own part of the load. With
// reports, the p99 of the time to the first token must be lower than with random
// choice, also if one target is slow.
func TestRoutingBeatsRandomChoice(t *testing.T) {
	for _, sc := range []scenario{scenarios()[0], scenarios()[2]} {
		all := strategies()
		random := newSim(all[0], sc).run(0.99)[0]
		withReports := newSim(all[2], sc).run(0.99)[0]
		require.Less(t, withReports, random)
	}
}
