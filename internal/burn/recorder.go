package burn

import (
	"sync"
	"time"

	"merlintiller/internal/protocol"
)

// Limits of the memory of a recorder, about 11 MB in total at most: a series takes 1.2 KB,
// and a series with histograms up to 10 KB more. Calls of 3,400 organisations to 38 models
// could create 129,200 series, which would take 155 MB. An instance keeps the series with
// calls within the last six hours. When it has maxSeries, it counts further series
// together.
const (
	maxSeries     = 4096
	maxHistograms = 512
)

// OtherOrganisation represents the organisations that are counted together.
const OtherOrganisation protocol.OrganisationID = "(other)"

// Series identifies an organisation and a service that are counted separately.
type Series struct {
	Organisation protocol.OrganisationID `json:"organisation"`
	Service      protocol.ServiceName    `json:"service"`
}

// seriesRecord holds the counts and latencies of one series.
type seriesRecord struct {
	windows windows
	// latency is nil if the recorder already had maxHistograms.
	latency *latency
	// lastUsed is the time of the last recorded call.
	lastUsed time.Time
}

// Recorder counts the calls of one instance. It is safe for concurrent use.
type Recorder struct {
	objectives func(protocol.OrganisationID) protocol.Objectives
	now        func() time.Time

	mu         sync.Mutex
	series     map[Series]*seriesRecord
	histograms int
	lastSweep  time.Time
}

// NewRecorder returns a recorder. The function objectives returns the objectives in force
// for an organisation, the zero value if it has none.
func NewRecorder(objectives func(protocol.OrganisationID) protocol.Objectives, now func() time.Time) *Recorder {
	return &Recorder{objectives: objectives, now: now, series: map[Series]*seriesRecord{}}
}

// Record counts one online call that was within its organisation's rate. firstToken and
// betweenTokens are zero if the call has no such time. ok reports whether the caller
// received a complete response.
func (r *Recorder) Record(org protocol.OrganisationID, service protocol.ServiceName, firstToken, betweenTokens time.Duration, ok bool) {
	objectives := r.objectives(org)
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.seriesFor(Series{org, service}, now)
	rec.windows.add(now, Availability, countOf(ok))
	rec.recordLatency(now, FirstToken, firstToken, objectives.FirstToken)
	rec.recordLatency(now, BetweenTokens, betweenTokens, objectives.BetweenTokens)
}

// RecordBatch counts batch items that ended by their deadline (onTime) and that did not
// (late).
func (r *Recorder) RecordBatch(org protocol.OrganisationID, service protocol.ServiceName, onTime, late int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.seriesFor(Series{org, service}, now)
	rec.windows.add(now, BatchOnTime, Count{Good: uint32(onTime), Bad: uint32(late)})
}

// recordLatency adds one latency to the histogram and, if there is a limit, to the counts.
func (rec *seriesRecord) recordLatency(now time.Time, signal Signal, took, limit time.Duration) {
	if took <= 0 {
		return
	}
	if rec.latency != nil {
		rec.latency.add(now, signal, took)
	}
	if limit > 0 {
		rec.windows.add(now, signal, countOf(took <= limit))
	}
}

func countOf(good bool) Count {
	if good {
		return Count{Good: 1}
	}
	return Count{Bad: 1}
}

// seriesFor returns the record for a series, or for OtherOrganisation if the recorder is
// full. The caller holds the lock.
func (r *Recorder) seriesFor(key Series, now time.Time) *seriesRecord {
	rec, ok := r.series[key]
	if !ok && len(r.series) >= maxSeries {
		r.sweep(now)
	}
	if !ok && len(r.series) >= maxSeries {
		key.Organisation = OtherOrganisation
		rec, ok = r.series[key]
	}
	if !ok {
		rec = r.create(key)
	}
	rec.lastUsed = now
	return rec
}

func (r *Recorder) create(key Series) *seriesRecord {
	rec := &seriesRecord{windows: newWindows()}
	if r.histograms < maxHistograms {
		rec.latency = &latency{}
		r.histograms++
	}
	r.series[key] = rec
	return rec
}

// sweep deletes the series without calls in any window. It runs at most once a minute;
// otherwise callers could cause a scan of all series on every call.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Minute {
		return
	}
	r.lastSweep = now
	for key, rec := range r.series {
		if now.Sub(rec.lastUsed) <= seriesRetention {
			continue
		}
		delete(r.series, key)
		if rec.latency != nil {
			r.histograms--
		}
	}
}
