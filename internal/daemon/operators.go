package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/burn"
	"merlintiller/internal/closing"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

// lateWithin is the time left to its deadline at which status lists a job that
// is not done: an operator can still do something about it.
const lateWithin = time.Hour

// burnTimeout bounds one instance's part in a burn report. A full recorder was
// measured to take a quarter of a second to encode.
const burnTimeout = 5 * time.Second

// operators is what operators see and order at this instance.
type operators struct {
	recorder *burn.Recorder
	jobs     *burn.JobWatcher
	source   *fleetstatus.Source
	server   *operatorServer
	// drainAsked is closed once an operator has ordered the instance to leave.
	drainAsked chan struct{}
	drainOnce  sync.Once
	// leaving says that the instance has begun to leave, for whatever reason.
	leaving atomic.Bool
}

func (o *operators) services() []suture.Service { return []suture.Service{o.server, o.jobs} }

// drain makes the daemon leave. It returns at once.
func (o *operators) drain() { o.drainOnce.Do(func() { close(o.drainAsked) }) }

// observe records a finished call for the burn report. Only a stream shows when
// its first token came.
func (o *operators) observe(seen online.Observation) {
	if !burn.Measured(seen.Result.Refusal) {
		return
	}
	var firstToken, between time.Duration
	if seen.Result.Events > 0 {
		firstToken, between = seen.Result.TimeToFirstByte, seen.Result.MeanEventGap
	}
	o.recorder.Record(seen.Organisation, seen.Service, firstToken, between, seen.Result.Refusal == nil)
}

func newRecorder(fleet func() *protocol.Fleet) *burn.Recorder {
	objectives := func(org protocol.OrganisationID) protocol.Objectives {
		return fleet().Organisations[org].Objectives
	}
	return burn.NewRecorder(objectives, time.Now)
}

func (d *Daemon) joinOperators() {
	o := &d.operators
	j := d.agreement.journal
	peers := d.agreement.heartbeats
	timeout := d.settings.Timings.PeerTimeout
	o.drainAsked = make(chan struct{})
	o.jobs = &burn.JobWatcher{Journal: j, Recorder: o.recorder}
	o.source = &fleetstatus.Source{
		Instance: d.settings.Instance,
		Domain:   d.settings.Domain,
		Journal:  j,
		Draining: o.leaving.Load,
		Trouble:  j.Problem,
		Now:      time.Now,
		Started:  time.Now(),
	}
	handler := operatorapi.New(operatorapi.Config{
		Instance: d.settings.Instance,
		Keys:     d.settings.OperatorKeys,
		Journal:  j,
		Peers:    peers,
		Withdraw: &withdrawal.Service{Journal: j, Peers: peers, Local: j, PeerTimeout: timeout},
		Status:   &fleetstatus.Collector{Source: o.source, Peers: peers, PeerTimeout: timeout, LateWithin: lateWithin},
		Burn: &burn.Collector{
			Instance: d.settings.Instance, Recorder: o.recorder, Peers: peers,
			Fleet: j.Fleet, Now: time.Now, PeerTimeout: burnTimeout,
		},
		Targets: d.fleet.router.Targets,
		Drain:   o.drain,
		Logger:  d.logger,
	})
	mux := http.NewServeMux()
	mux.Handle("/operator/", handler)
	mux.Handle("GET /debug/vars", expvar.Handler())
	d.operators.server = &operatorServer{
		listen:  secured(d.settings.Listen.Operators, d.tls.Operators.Server()),
		handler: mux,
		timeout: d.settings.Limits.HeaderTimeout,
	}
}

// operatorServer serves operators, a suture service.
type operatorServer struct {
	listen  func() (net.Listener, error)
	handler http.Handler
	timeout time.Duration
}

// String names the duty.
func (o *operatorServer) String() string { return "operators" }

// Serve implements suture.Service.
func (o *operatorServer) Serve(ctx context.Context) error {
	listener, err := o.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: o.handler, ReadHeaderTimeout: o.timeout}
	wait := closing.OnDone(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return ctx.Err()
}
