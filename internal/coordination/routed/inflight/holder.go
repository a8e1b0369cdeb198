package inflight

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// replicaTTL is how long the runs of an instance that sends no reports are kept. A sender that is up reports each
	// reportInterval, and is known to be silent earlier than that after its last report.
	replicaTTL = 5 * reportInterval
	// maxRunsHeld bounds the runs that are kept of one instance.
	maxRunsHeld = 4096
)

var runsLost = metrics.NewCounter(`inflight_runs_lost_total`)

// Holder keeps the runs of other instances. It is safe for concurrent use.
type Holder struct {
	// lost is called with the runs of an instance that is down or silent.
	lost   func([]LostRun)
	logger log.Logger

	mu      sync.Mutex
	senders map[string]*replica
}

// replica is what is known of the runs of one instance.
type replica struct {
	start   int64
	heardAt time.Time
	// runs are by number. They are lost once the instance is.
	runs map[uint64]LostRun
}

// NewHolder returns a Holder without runs.
func NewHolder(lost func([]LostRun), logger log.Logger) *Holder {
	return &Holder{lost: lost, logger: logger, senders: map[string]*replica{}}
}

// Apply applies the report of an instance. The runs of an earlier incarnation of it are lost.
func (h *Holder) Apply(now time.Time, report *Report) Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	r := h.senders[report.Instance]
	if r != nil && r.start != report.Start {
		h.takeLost(report.Instance)
		r = nil
	}
	if r == nil {
		r = &replica{start: report.Start, runs: map[uint64]LostRun{}}
		h.senders[report.Instance] = r
	}
	r.heardAt = now
	if report.Whole {
		clear(r.runs)
	}
	for _, run := range report.Began {
		if len(r.runs) < maxRunsHeld {
			r.runs[run.Number] = LostRun{Run: run, Sender: report.Instance, SentAt: now.Add(-run.Age)}
		}
	}
	for _, number := range report.Answered {
		if run, known := r.runs[number]; known {
			run.Answered = true
			r.runs[number] = run
		}
	}
	for _, number := range report.Ended {
		delete(r.runs, number)
	}
	return Reply{Known: len(r.runs)}
}

// InstanceLost records that an instance is down or silent. An instance that goes on reports all its runs again.
func (h *Holder) InstanceLost(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(time.Now())
	h.takeLost(name)
}

// InstanceStarted records that an instance runs as the incarnation with some start. The runs of another one are lost: it
// may have been started again before anyone found it down.
func (h *Holder) InstanceStarted(name string, start int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.senders[name]; r != nil && r.start != start {
		h.removeExpired(time.Now())
		h.takeLost(name)
	}
}

// takeLost removes the runs of an instance and passes them on. The caller holds the lock.
func (h *Holder) takeLost(name string) {
	r := h.senders[name]
	if r == nil {
		return
	}
	delete(h.senders, name)
	if len(r.runs) == 0 {
		return
	}
	list := slices.SortedFunc(maps.Values(r.runs), func(a, b LostRun) int { return cmp.Compare(a.Number, b.Number) })
	runsLost.Add(len(list))
	_ = level.Info(h.logger).Log("event", "inflight_sender_lost", "sender", name, "started", r.start, "runs", len(list), "heard_ms", time.Since(r.heardAt).Milliseconds())
	h.lost(list)
}

// removeExpired removes the runs of instances that have not reported for replicaTTL: they have another holder.
func (h *Holder) removeExpired(now time.Time) {
	maps.DeleteFunc(h.senders, func(_ string, r *replica) bool { return now.Sub(r.heardAt) > replicaTTL })
}

// Receiver is the net/rpc receiver, registered under ReceiverName.
type Receiver struct{ holder *Holder }

// Receiver returns the net/rpc receiver.
func (h *Holder) Receiver() *Receiver { return &Receiver{holder: h} }

// Report applies the caller's report.
func (r *Receiver) Report(args *Report, reply *Reply) error {
	*reply = r.holder.Apply(time.Now(), args)
	return nil
}
