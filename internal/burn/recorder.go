package burn

import (
	"sync"
	"time"

	"merlintiller/internal/protocol"
)

// Limits of what a recorder keeps, about 11 MB together at the very most: a
// series costs 1.2 KB and one with histograms up to 10 KB more. Callers of 3,400
// organisations at 38 models could make 129,200 series, which would take
// 155 MB; an instance keeps those that had calls within six hours, and once it
// has maxSeries it counts further ones together.
const (
	maxSeries     = 4096
	maxHistograms = 512
)

// OtherOrganisation stands for the organisations that were counted together.
const OtherOrganisation protocol.OrganisationID = "(other)"

// Series names what is counted by itself.
type Series struct {
	Organisation protocol.OrganisationID `json:"organisation"`
	Service      protocol.ServiceName    `json:"service"`
}

type record struct {
	windows windows
	// latency is nil if the recorder had its fill of histograms.
	latency *latency
	used    time.Time
}

// Recorder counts the calls of one instance. It is safe for concurrent use.
type Recorder struct {
	objectives func(protocol.OrganisationID) protocol.Objectives
	now        func() time.Time

	mu         sync.Mutex
	series     map[Series]*record
	histograms int
	swept      time.Time
}

// NewRecorder returns a recorder. objectives gives what is in force for an
// organisation, zero if it has none.
func NewRecorder(objectives func(protocol.OrganisationID) protocol.Objectives, now func() time.Time) *Recorder {
	return &Recorder{objectives: objectives, now: now, series: map[Series]*record{}}
}

// Record counts one online call that was inside its organisation's rate.
// firstToken and betweenTokens are zero if there was none; ok says that the
// caller got a whole answer.
func (r *Recorder) Record(org protocol.OrganisationID, service protocol.ServiceName, firstToken, betweenTokens time.Duration, ok bool) {
	levels := r.objectives(org)
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.get(Series{org, service}, now)
	rec.windows.add(now, Availability, one(ok))
	rec.took(now, FirstToken, firstToken, levels.FirstToken)
	rec.took(now, BetweenTokens, betweenTokens, levels.BetweenTokens)
}

// RecordBatch counts batch items that ended by their deadline or did not.
func (r *Recorder) RecordBatch(org protocol.OrganisationID, service protocol.ServiceName, onTime, late int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.get(Series{org, service}, now)
	rec.windows.add(now, BatchOnTime, Count{Good: uint32(onTime), Bad: uint32(late)})
}

func (rec *record) took(now time.Time, signal Signal, took, limit time.Duration) {
	if took <= 0 {
		return
	}
	if rec.latency != nil {
		rec.latency.add(now, signal, took)
	}
	if limit > 0 {
		rec.windows.add(now, signal, one(took <= limit))
	}
}

func one(good bool) Count {
	if good {
		return Count{Good: 1}
	}
	return Count{Bad: 1}
}

func (r *Recorder) get(key Series, now time.Time) *record {
	rec, ok := r.series[key]
	if !ok && len(r.series) >= maxSeries {
		r.sweep(now)
	}
	if !ok && len(r.series) >= maxSeries {
		key.Organisation = OtherOrganisation
		rec, ok = r.series[key]
	}
	if !ok {
		rec = r.open(key)
	}
	rec.used = now
	return rec
}

func (r *Recorder) open(key Series) *record {
	rec := &record{windows: newWindows()}
	if r.histograms < maxHistograms {
		rec.latency = &latency{}
		r.histograms++
	}
	r.series[key] = rec
	return rec
}

// sweep forgets series that no window shows any more. It looks once a minute
// at most: callers could otherwise make every call walk all series.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Minute {
		return
	}
	r.swept = now
	for key, rec := range r.series {
		if now.Sub(rec.used) <= longest {
			continue
		}
		delete(r.series, key)
		if rec.latency != nil {
			r.histograms--
		}
	}
}
