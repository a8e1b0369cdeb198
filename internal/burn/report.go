package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlintiller/internal/protocol"
)

// Alarm says how urgent a line of a report is.
type Alarm string

// The alarms.
const (
	AlarmNone Alarm = "ok"
	// AlarmSlow: the allowance of 30 days ends within 5 days at this rate.
	AlarmSlow Alarm = "slow_burn"
	// AlarmFast: it ends within about 2 days, and it still goes on.
	AlarmFast Alarm = "fast_burn"
)

// Report is the burn of the fleet, as far as it could be reached.
type Report struct {
	At time.Time `json:"at"`
	// Merged are the instances whose calls are counted.
	Merged []protocol.InstanceID `json:"merged"`
	// Unreached are known instances whose calls are missing here.
	Unreached []protocol.InstanceID `json:"unreached"`
	Lines     []Line                `json:"lines"`
}

// Line is one objective of one organisation at one service.
type Line struct {
	Series
	Signal string `json:"signal"`
	// Limit is the longest good time in milliseconds, 0 if there is none.
	Limit float64 `json:"limit_ms,omitempty"`
	// Objective is the share of calls that must be good, 0 if none is set.
	Objective float64      `json:"objective"`
	Windows   []WindowLine `json:"windows"`
	Latency   *Quantiles   `json:"latency,omitempty"`
	Alarm     Alarm        `json:"alarm"`
}

// WindowLine is the burn over one window.
type WindowLine struct {
	Window string `json:"window"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
	// Burn is the share of bad calls ÷ the share that may be bad.
	Burn float64 `json:"burn"`
}

// Quantiles are times of the last one to two hours in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// merger adds snapshots of instances up.
type merger struct {
	series map[Series]*mergedSeries
}

type mergedSeries struct {
	windows [windowCount][signalCount]struct{ good, bad uint64 }
	latency [latencySignals]*hdrhistogram.Histogram
}

func newMerger() *merger { return &merger{series: map[Series]*mergedSeries{}} }

// add takes a snapshot whole or, if one of its histograms is malformed, not at
// all.
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

// lines gives the report's lines, the most urgent first.
func (m *merger) lines(fleet *protocol.Fleet) []Line {
	lines := []Line{}
	for key, merged := range m.series {
		levels := fleet.Organisations[key.Organisation].Objectives
		for signal := range signalCount {
			if line, ok := merged.line(key, signal, levels); ok {
				lines = append(lines, line)
			}
		}
	}
	sort.Slice(lines, func(i, j int) bool { return before(lines[i], lines[j]) })
	return lines
}

func before(a, b Line) bool {
	if a.worst() != b.worst() {
		return a.worst() > b.worst()
	}
	if a.Organisation != b.Organisation {
		return a.Organisation < b.Organisation
	}
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Signal < b.Signal
}

// worst is the largest burn that a short and a long window agree on.
func (l Line) worst() float64 {
	return max(min(l.Windows[FiveMinutes].Burn, l.Windows[Hour].Burn), min(l.Windows[HalfHour].Burn, l.Windows[SixHours].Burn))
}

// line is not ok if nothing was counted for the signal.
func (m *mergedSeries) line(key Series, signal Signal, levels protocol.Objectives) (Line, bool) {
	line := Line{Series: key, Signal: signal.String(), Objective: objective(signal, levels), Limit: limit(signal, levels)}
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

func objective(signal Signal, levels protocol.Objectives) float64 {
	if signal == BatchOnTime {
		return levels.BatchOnTime
	}
	return levels.Target
}

func limit(signal Signal, levels protocol.Objectives) float64 {
	switch signal {
	case FirstToken:
		return milliseconds(levels.FirstToken)
	case BetweenTokens:
		return milliseconds(levels.BetweenTokens)
	default:
		return 0
	}
}

// burnRate is 0 without calls or without an objective.
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
