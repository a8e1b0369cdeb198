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

// Snapshot gives what the recorder holds now.
func (r *Recorder) Snapshot(request Request) (Snapshot, error) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Snapshot
	for key, rec := range r.series {
		if request.Organisation != "" && request.Organisation != key.Organisation {
			continue
		}
		if now.Sub(rec.used) > longest {
			continue
		}
		line := SeriesSnapshot{Series: key, Windows: rec.windows.sums(now)}
		for signal := range line.Latency {
			if rec.latency == nil {
				continue
			}
			encoded, err := encode(rec.latency.merged(now, Signal(signal)))
			if err != nil {
				return Snapshot{}, err
			}
			line.Latency[signal] = encoded
		}
		out.Series = append(out.Series, line)
	}
	return out, nil
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
