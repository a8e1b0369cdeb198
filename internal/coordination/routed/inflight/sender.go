package inflight

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// reportInterval is how often an instance with runs reports although nothing has changed, and looks for a better
	// holder.
	reportInterval = time.Second
	// reportTimeout bounds a report.
	reportTimeout = 200 * time.Millisecond
	// confirmTimeout bounds the wait for the holder before a run begins. A holder that does not answer by then may be
	// lost itself, and the request must still be on time.
	confirmTimeout = 50 * time.Millisecond
	// holderAvoidance is how long an instance that did not answer is not chosen again.
	holderAvoidance = 2 * time.Second
	// earlierReleaseAvoidance is the same for an instance of a release that holds no runs.
	earlierReleaseAvoidance = time.Minute
	// maxRunsOpen bounds the runs that are replicated. Further ones are known to this instance only.
	maxRunsOpen = maxRunsHeld
)

var (
	reportsFailed  = metrics.NewCounter(`inflight_reports_failed_total`)
	runsUnreported = metrics.NewCounter(`inflight_runs_unreplicated_total`)
)

// Peers are the other instances.
type Peers interface {
	// AllUp returns the instances that are reachable and not leaving.
	AllUp() []mesh.Instance
}

// SenderOptions configure a Sender.
type SenderOptions struct {
	Self   mesh.Instance
	Peers  Peers
	Caller protocol.Caller
	Logger log.Logger
}

// Sender replicates the runs of this instance to a holder. It is a background service and safe for concurrent use.
type Sender struct {
	opts SenderOptions

	mu         sync.Mutex
	lastNumber uint64
	open       map[uint64]openRun
	// began, answered and ended are what the holder has to be told. reporting are the runs in the report on its way, after
	// which the holder has as many as expected.
	began     map[uint64]bool
	answered  []uint64
	ended     []uint64
	reporting map[uint64]bool
	expected  int
	// holder has the runs, with a zero Start if none has. avoidUntil is by address.
	holder     mesh.Instance
	avoidUntil map[string]time.Time
	// sending is set while reports are being sent, reported is closed with the next one that was answered.
	sending  bool
	reported chan struct{}
}

// openRun is a run that has not ended.
type openRun struct {
	Run
	sentAt time.Time
}

// report returns the run with its age.
func (r *openRun) report(now time.Time) Run {
	run := r.Run
	run.Age = now.Sub(r.sentAt)
	return run
}

// NewSender returns a Sender without runs.
func NewSender(opts SenderOptions) *Sender {
	return &Sender{opts: opts, open: map[uint64]openRun{}, began: map[uint64]bool{}, avoidUntil: map[string]time.Time{}, reported: make(chan struct{})}
}

// Begin records a run that is about to be sent, or whose Age says when it was, and returns its number for End. With
// confirm, it waits until another instance knows of it, for confirmTimeout at most.
func (s *Sender) Begin(ctx context.Context, run Run, confirm bool) uint64 {
	s.mu.Lock()
	s.lastNumber++
	run.Number = s.lastNumber
	if len(s.open) >= maxRunsOpen {
		s.mu.Unlock()
		runsUnreported.Inc()
		return run.Number
	}
	s.open[run.Number], s.began[run.Number] = openRun{run, time.Now().Add(-run.Age)}, true
	s.startSending()
	s.mu.Unlock()
	if confirm {
		s.awaitReported(ctx, run.Number)
	}
	return run.Number
}

// awaitReported waits until the holder knows of a run.
func (s *Sender) awaitReported(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		pending, reported := s.began[number], s.reported
		s.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-reported:
		case <-ctx.Done():
		}
	}
}

// Answered records that the first event of a run has come. The next report tells it.
func (s *Sender) Answered(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, known := s.open[number]
	if !known {
		return
	}
	run.Answered = true
	s.open[number] = run
	if !s.began[number] || s.reporting[number] {
		s.answered = append(s.answered, number)
	}
}

// End records that a run has ended, and that it is known whether its target ended under it.
func (s *Sender) End(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.open[number]; !known {
		return
	}
	delete(s.open, number)
	if s.began[number] && !s.reporting[number] {
		delete(s.began, number)
		return
	}
	s.ended = append(s.ended, number)
	s.startSending()
}

// InstanceLost records that an instance is down or silent. If it holds the runs, another one is told of them.
func (s *Sender) InstanceLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Name == name {
		s.holderLost()
	}
}

// InstanceStarted records that an instance runs as the incarnation with some start. If another one holds the runs, they
// are told again.
func (s *Sender) InstanceStarted(name string, start int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Name == name && s.holder.Start != start {
		s.holderLost()
	}
}

// holderLost makes this instance tell all its runs again. The caller holds the lock.
func (s *Sender) holderLost() {
	s.holder = mesh.Instance{}
	if len(s.open) > 0 {
		s.startSending()
	}
}

// String returns the name of the background service.
func (s *Sender) String() string { return "inflight" }

// Serve reports the runs now and again, until ctx ends: the holder may be lost, or start again without them.
func (s *Sender) Serve(ctx context.Context) error {
	return wait.Every(ctx, reportInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.open) > 0 {
			s.startSending()
		}
	})
}

// startSending starts sending reports unless that is going on. The caller holds the lock.
func (s *Sender) startSending() {
	if !s.sending {
		s.sending = true
		go s.send()
	}
}

// send sends reports until nothing is left to be told, or no instance takes them: the next change, or Serve, tries again.
func (s *Sender) send() {
	for {
		to, report := s.nextReport()
		if report == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		var reply Reply
		err := s.opts.Caller.Call(ctx, to.Address, methodReport, report, &reply)
		cancel()
		if !s.handleReply(to, report, reply, err) {
			return
		}
	}
}

// nextReport returns the next report and to whom it goes, nil if no other instance is up.
func (s *Sender) nextReport() (to mesh.Instance, report *Report) {
	peers := s.opts.Peers.AllUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	to, ok := s.chooseHolder(now, peers)
	if !ok {
		s.sending, s.holder, s.answered, s.ended = false, mesh.Instance{}, nil, nil
		return to, nil
	}
	report = &Report{Instance: s.opts.Self.Name, Start: s.opts.Self.Start}
	if to.Name != s.holder.Name || to.Start != s.holder.Start {
		report.Whole = true
		for _, run := range s.open {
			report.Began = append(report.Began, run.report(now))
		}
	} else {
		for number := range s.began {
			run := s.open[number]
			report.Began = append(report.Began, run.report(now))
		}
		report.Answered, report.Ended = s.answered, s.ended
	}
	s.answered, s.ended, s.expected, s.reporting = nil, nil, len(s.open), map[uint64]bool{}
	for _, run := range report.Began {
		s.reporting[run.Number] = true
	}
	return to, report
}

// handleReply applies the result of a report. It returns true if another one has to follow.
func (s *Sender) handleReply(to mesh.Instance, report *Report, reply Reply, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporting = nil
	// A run that has ended meanwhile is not told again: a holder that has it is told its end, another one all open runs.
	maps.DeleteFunc(s.began, func(number uint64, _ bool) bool {
		_, open := s.open[number]
		return !open
	})
	if err != nil {
		reportsFailed.Inc()
		_ = level.Info(s.opts.Logger).Log("event", "inflight_not_reported", "peer", to.Address, "runs", len(s.open), "err", err)
		s.avoidUntil[to.Address], s.holder = time.Now().Add(avoidanceAfter(err)), mesh.Instance{}
		s.answered, s.ended = nil, nil
		return true
	}
	for _, run := range report.Began {
		delete(s.began, run.Number)
	}
	s.holder = to
	if reply.Known != s.expected {
		// It has forgotten the runs after a silence of this instance.
		s.holder = mesh.Instance{}
	}
	close(s.reported)
	s.reported = make(chan struct{})
	s.sending = s.holder.Start == 0 && !report.Whole || len(s.began)+len(s.ended) > 0
	return s.sending
}

// avoidanceAfter returns how long an instance is not chosen after an error. One that answers with an error does not know
// the method.
func avoidanceAfter(err error) time.Duration {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return earlierReleaseAvoidance
	}
	return holderAvoidance
}

// chooseHolder returns the instance that holds the runs: one in another failure domain if any is up there. Each
// instance ranks the others by itself, so that none holds the runs of all.
func (s *Sender) chooseHolder(now time.Time, peers []mesh.Instance) (best mesh.Instance, ok bool) {
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	rank := func(i mesh.Instance) uint64 { return xxhash.Sum64String(s.opts.Self.Name + "/" + i.Name) }
	for _, i := range peers {
		if _, avoided := s.avoidUntil[i.Address]; avoided {
			continue
		}
		elsewhere, bestElsewhere := i.Domain != s.opts.Self.Domain, best.Domain != s.opts.Self.Domain
		if !ok || elsewhere && !bestElsewhere || elsewhere == bestElsewhere && rank(i) < rank(best) {
			best, ok = i, true
		}
	}
	return best, ok
}
