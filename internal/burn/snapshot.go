package burn

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlintiller/internal/protocol"
)

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Burn"

// MethodReport is the net/rpc method that returns the snapshot of an instance.
const MethodReport = ServiceName + ".Report"

// Request is the request for a snapshot.
type Request struct {
	// Organisation limits the snapshot to one organisation; empty means all.
	Organisation protocol.OrganisationID
}

// Snapshot holds the records of one instance in a form that can be merged.
type Snapshot struct {
	Series []SeriesSnapshot
}

// SeriesSnapshot holds the counts and latencies of one series.
type SeriesSnapshot struct {
	Series  Series
	Windows [windowCount]Counts
	// Latency holds histograms in the V2 compressed encoding of HdrHistogram, nil if there
	// are none.
	Latency [latencySignals][]byte
}

// Snapshot returns the current records. It locks the recorder for one series at a time.
// Encoding a full recorder takes a tenth of a second, and with one lock for all of it
// every online call that ends meanwhile would wait that long.
func (r *Recorder) Snapshot(request Request) (Snapshot, error) {
	var out Snapshot
	for _, key := range r.keys(request) {
		line, latency, ok := r.snapshotSeries(key)
		if !ok {
			continue
		}
		for signal, h := range latency {
			encoded, err := encode(h)
			if err != nil {
				return Snapshot{}, err
			}
			line.Latency[signal] = encoded
		}
		out.Series = append(out.Series, line)
	}
	return out, nil
}

func (r *Recorder) keys(request Request) []Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]Series, 0, len(r.series))
	for key := range r.series {
		if request.Organisation == "" || request.Organisation == key.Organisation {
			keys = append(keys, key)
		}
	}
	return keys
}

// snapshotSeries copies one series. It returns false if no window contains calls of the
// series any more.
func (r *Recorder) snapshotSeries(key Series) (line SeriesSnapshot, latency [latencySignals]*hdrhistogram.Histogram, ok bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.series[key]
	if rec == nil || now.Sub(rec.lastUsed) > seriesRetention {
		return line, latency, false
	}
	line = SeriesSnapshot{Series: key, Windows: rec.windows.sums(now)}
	if rec.latency == nil {
		return line, latency, true
	}
	for signal := range latency {
		// merged copies the histograms, so they can be encoded without the lock.
		latency[signal] = rec.latency.merged(now, Signal(signal))
	}
	return line, latency, true
}

func encode(h *hdrhistogram.Histogram) ([]byte, error) {
	if h == nil {
		return nil, nil
	}
	return h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

func decode(data []byte) (*hdrhistogram.Histogram, error) {
	if len(data) == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("decode latency histogram: %w", err)
	}
	return h, nil
}

// Receiver serves the net/rpc calls of other instances.
type Receiver struct {
	Recorder *Recorder
}

// Report returns the snapshot of this instance.
func (r *Receiver) Report(request Request, snapshot *Snapshot) error {
	taken, err := r.Recorder.Snapshot(request)
	if err != nil {
		return err
	}
	*snapshot = taken
	return nil
}
