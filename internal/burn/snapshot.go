package burn

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlintiller/internal/protocol"
)

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Burn"

// MethodReport is the net/rpc method that gives an instance's snapshot.
const MethodReport = ServiceName + ".Report"

// Request asks an instance for what it recorded.
type Request struct {
	// Organisation limits the answer to one; empty means all.
	Organisation protocol.OrganisationID
}

// Snapshot is what one instance recorded, in a form that can be merged.
type Snapshot struct {
	Series []SeriesSnapshot
}

// SeriesSnapshot is one series of a snapshot.
type SeriesSnapshot struct {
	Series  Series
	Windows [windowCount]Counts
	// Latency holds histograms in HDR's V2 compressed form, nil if none.
	Latency [latencySignals][]byte
}

// Snapshot gives what the recorder holds now. It locks the recorder for one
// series at a time: encoding a full one takes a tenth of a second, for which
// every online call that ends here would otherwise wait.
func (r *Recorder) Snapshot(request Request) (Snapshot, error) {
	var out Snapshot
	for _, key := range r.keys(request) {
		line, latency, ok := r.read(key)
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

// read copies one series. It is not ok if no window shows it any more.
func (r *Recorder) read(key Series) (line SeriesSnapshot, latency [latencySignals]*hdrhistogram.Histogram, ok bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.series[key]
	if rec == nil || now.Sub(rec.used) > longest {
		return line, latency, false
	}
	line = SeriesSnapshot{Series: key, Windows: rec.windows.sums(now)}
	if rec.latency == nil {
		return line, latency, true
	}
	for signal := range latency {
		// merged copies the histograms, so that they can be encoded unlocked.
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
		return nil, fmt.Errorf("histogram: %w", err)
	}
	return h, nil
}

// Receiver answers other instances.
type Receiver struct {
	Recorder *Recorder
}

// Report gives this instance's snapshot.
func (r *Receiver) Report(request Request, snapshot *Snapshot) error {
	taken, err := r.Recorder.Snapshot(request)
	if err != nil {
		return err
	}
	*snapshot = taken
	return nil
}
