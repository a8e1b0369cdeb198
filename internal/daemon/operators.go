package daemon

import (
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/listening"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/graceful"
	"merlintiller/internal/transport/operatorapi"
)

// lateJobMargin is the time before its deadline from which the status lists an unfinished
// job: an operator still has time to react.
const lateJobMargin = time.Hour

// burnReportTimeout limits the request for one instance's part of a burn report. Encoding
// a full recorder took a quarter of a second in a measurement.
const burnReportTimeout = 5 * time.Second

// operatorAPI holds the components behind the operator API of this instance.
type operatorAPI struct {
	recorder *burn.Recorder
	jobs     *burn.JobWatcher
	source   *fleetstatus.Source
	server   *operatorServer
	// drainRequested is closed when an operator drains the instance.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// leaving reports whether a graceful shutdown has started, for any reason.
	leaving atomic.Bool
}

func (o *operatorAPI) services() []suture.Service { return []suture.Service{o.server, o.jobs} }

// requestDrain starts a graceful shutdown of the daemon and returns at once.
func (o *operatorAPI) requestDrain() { o.drainOnce.Do(func() { close(o.drainRequested) }) }

// recordCall records a finished call for the burn report. The time to the first token is
// known only for streams.
func (o *operatorAPI) recordCall(call online.Observation) {
	if !burn.CountsTowardObjectives(call.Result.Refusal) {
		return
	}
	var firstToken, meanGap time.Duration
	if call.Result.Events > 0 {
		firstToken, meanGap = call.Result.TimeToFirstByte, call.Result.MeanEventGap
	}
	o.recorder.Record(call.Organisation, call.Service, firstToken, meanGap, call.Result.Refusal == nil)
}

func newRecorder(fleet func() *protocol.Fleet) *burn.Recorder {
	objectives := func(org protocol.OrganisationID) protocol.Objectives {
		return fleet().Organisations[org].Objectives
	}
	return burn.NewRecorder(objectives, time.Now)
}

func (d *Daemon) setupOperators() error {
	listen, err := listening.Now("operators", d.settings.Listen.Operators, listenOptionalTLS(d.settings.Listen.Operators, d.tls.Operators.Server()))
	if err != nil {
		return trace.Wrap(err)
	}
	o := &d.operators
	j := d.cluster.journal
	peers := d.cluster.heartbeats
	timeout := d.settings.Timings.PeerTimeout
	o.drainRequested = make(chan struct{})
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
		Status:   &fleetstatus.Collector{Source: o.source, Peers: peers, PeerTimeout: timeout, LateWithin: lateJobMargin},
		Burn: &burn.Collector{
			Instance: d.settings.Instance, Recorder: o.recorder, Peers: peers,
			Fleet: j.Fleet, Now: time.Now, PeerTimeout: burnReportTimeout,
		},
		Targets: d.fleet.router.Targets,
		Drain:   o.requestDrain,
		Logger:  d.logger,
	})
	mux := http.NewServeMux()
	mux.Handle("/operator/", handler)
	mux.Handle("GET /debug/vars", expvar.Handler())
	o.server = &operatorServer{graceful.NewService(listen, func() graceful.Options {
		return graceful.Options{
			Name: "operators",
			HTTP: &http.Server{
				Handler: mux, ReadHeaderTimeout: d.settings.Limits.HeaderTimeout, IdleTimeout: d.settings.Limits.IdleTimeout,
				MaxHeaderBytes: d.settings.Limits.HeaderBytes,
			},
			Refusal:        operatorapi.WriteLeavingRefusal,
			MaxConnections: operatorConnections,
			Input:          d.input,
			Logger:         d.logger,
		}
	})}
	return nil
}

// operatorConnections bounds the connections of operators and their tools, which may leave some of them open.
const operatorConnections = 256

// operatorServer is the HTTP server for operators. It implements suture.Service.
type operatorServer struct {
	*graceful.Service
}

// String returns the name of the service for the supervisor.
func (o *operatorServer) String() string { return "operators" }
