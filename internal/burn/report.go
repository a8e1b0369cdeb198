package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlintiller/internal/protocol"
)

// Alarm is the urgency of a line of a report.
type Alarm string

// The alarms.
const (
	AlarmNone Alarm = "ok"
	// AlarmSlow means that at this rate the error budget of 30 days is used up within 5
	// days.
	AlarmSlow Alarm = "slow_burn"
	// AlarmFast means that at this rate the error budget is used up within about 2 days,
	// and the failures continue.
	AlarmFast Alarm = "fast_burn"
)

// Report holds the burn rates over all reachable instances of the fleet.
type Report struct {
	At time.Time `json:"at"`
	// Merged lists the instances whose calls are counted.
	Merged []protocol.InstanceID `json:"merged"`
	// Unreached lists the known instances whose calls are missing.
	Unreached []protocol.InstanceID `json:"unreached"`
	Lines     []Line                `json:"lines"`
}

// Line holds the burn rates of one signal for one organisation and service.
type Line struct {
	Series
	Signal string `json:"signal"`
	// Limit is the longest time that counts as good, in milliseconds, 0 if there is none.
	Limit float64 `json:"limit_ms,omitempty"`
	// Objective is the share of calls that must be good, 0 if none is set.
	Objective float64      `json:"objective"`
	Windows   []WindowLine `json:"windows"`
	Latency   *Quantiles   `json:"latency,omitempty"`
	Alarm     Alarm        `json:"alarm"`
}

// WindowLine holds the counts and the burn rate of one window.
type WindowLine struct {
	Window string `json:"window"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
	// Burn is the burn rate: the share of bad calls ÷ the share that may be bad.
	Burn float64 `json:"burn"`
}

// Quantiles are latency quantiles of the last one to two hours, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// merger adds up the snapshots of instances.
type merger struct {
	series map[Series]*mergedSeries
}

type mergedSeries struct {
	windows [windowCount][signalCount]struct{ good, bad uint64 }
	latency [latencySignals]*hdrhistogram.Histogram
}

func newMerger() *merger { return &merger{series: map[Series]*mergedSeries{}} }

// add adds a complete snapshot. If one of its histograms is malformed, it adds nothing and
// returns an error.
func (m *merger) add(snapshot Snapshot) error {
	decoded := make([][latencySignals]*hdrhistogram.Histogram, len(snapshot.Series))
	for i, line := range snapshot.Series {
		for signal, data := range line.Latency {
			h, err := decode(data)
			if err != nil {
				return err
			}
			decoded[i][signal] = h
		}
	}
	for i, line := range snapshot.Series {
		into := m.series[line.Series]
		if into == nil {
			into = &mergedSeries{}
			m.series[line.Series] = into
		}
		into.add(line.Windows, decoded[i])
	}
	return nil
}

func (m *mergedSeries) add(windows [windowCount]Counts, latency [latencySignals]*hdrhistogram.Histogram) {
	for w := range windows {
		for s, count := range windows[w] {
			m.windows[w][s].good += uint64(count.Good)
			m.windows[w][s].bad += uint64(count.Bad)
		}
	}
	for s, h := range latency {
		switch {
		case h == nil:
		case m.latency[s] == nil:
			m.latency[s] = h
		default:
			m.latency[s].Merge(h)
		}
	}
}

// lines returns the lines of the report, the most urgent first.
func (m *merger) lines(fleet *protocol.Fleet) []Line {
	lines := []Line{}
	for key, merged := range m.series {
		objectives := fleet.Organisations[key.Organisation].Objectives
		for signal := range signalCount {
			if line, ok := merged.line(key, signal, objectives); ok {
				lines = append(lines, line)
			}
		}
	}
	sort.Slice(lines, func(i, j int) bool { return moreUrgent(lines[i], lines[j]) })
	return lines
}

// moreUrgent orders the lines of a report.
func moreUrgent(a, b Line) bool {
	if a.worstBurn() != b.worstBurn() {
		return a.worstBurn() > b.worstBurn()
	}
	if a.Organisation != b.Organisation {
		return a.Organisation < b.Organisation
	}
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Signal < b.Signal
}

// worstBurn returns the largest burn rate that both a short and a long window reach.
func (l Line) worstBurn() float64 {
	return max(min(l.Windows[FiveMinutes].Burn, l.Windows[Hour].Burn), min(l.Windows[HalfHour].Burn, l.Windows[SixHours].Burn))
}

// line returns the report line of a signal, and false if nothing was counted for it.
func (m *mergedSeries) line(key Series, signal Signal, objectives protocol.Objectives) (Line, bool) {
	line := Line{Series: key, Signal: signal.String(), Objective: objective(signal, objectives), Limit: limit(signal, objectives)}
	if signal < latencySignals {
		line.Latency = quantiles(m.latency[signal])
	}
	seen := line.Latency != nil
	for w := range windowCount {
		count := m.windows[w][signal]
		seen = seen || count.good+count.bad > 0
		line.Windows = append(line.Windows, WindowLine{
			Window: w.String(), Good: count.good, Bad: count.bad,
			Burn: burnRate(count.good, count.bad, line.Objective),
		})
	}
	line.Alarm = alarm(line.Windows)
	return line, seen
}

func objective(signal Signal, objectives protocol.Objectives) float64 {
	if signal == BatchOnTime {
		return objectives.BatchOnTime
	}
	return objectives.Target
}

func limit(signal Signal, objectives protocol.Objectives) float64 {
	switch signal {
	case FirstToken:
		return milliseconds(objectives.FirstToken)
	case BetweenTokens:
		return milliseconds(objectives.BetweenTokens)
	default:
		return 0
	}
}

// burnRate returns the burn rate, 0 if there are no calls or there is no objective.
func burnRate(good, bad uint64, objective float64) float64 {
	allowed := 1 - objective
	if good+bad == 0 || objective <= 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / allowed
}

func alarm(windows []WindowLine) Alarm {
	switch {
	case windows[FiveMinutes].Burn >= fastBurn && windows[Hour].Burn >= fastBurn:
		return AlarmFast
	case windows[HalfHour].Burn >= slowBurn && windows[SixHours].Burn >= slowBurn:
		return AlarmSlow
	default:
		return AlarmNone
	}
}

func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	at := func(percent float64) float64 {
		return milliseconds(time.Duration(h.ValueAtQuantile(percent)) * latencyUnit)
	}
	return &Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
