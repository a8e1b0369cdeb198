package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

const burnName = "Burn"

// operators is what operators see and order at this instance.
type operators struct {
	recorder   *burn.Recorder
	server     *operatorServer
	drainAsked chan struct{}
}

func (o *operators) services() []suture.Service { return []suture.Service{o.server} }

func (o *operators) burnReceiver() *burn.Receiver { return &burn.Receiver{Recorder: o.recorder} }

// observe records a finished call for the burn report.
func (o *operators) observe(seen online.Observation) {
	ok := seen.Result.Refusal == nil
	o.recorder.Record(seen.Organisation, seen.Service, seen.Result.FirstByte, seen.Result.BetweenEvents, ok)
}

func newRecorder(fleet func() *protocol.Fleet) *burn.Recorder {
	objectives := func(org protocol.OrganisationID) protocol.Objectives {
		return fleet().Organisations[org].Objectives
	}
	return burn.NewRecorder(objectives, time.Now)
}

func (d *Daemon) joinOperators() {
	d.operators.drainAsked = make(chan struct{})
	handler := operatorapi.New(operatorapi.Config{
		Instance: d.settings.Instance,
		Keys:     d.settings.OperatorKeys,
		Journal:  d.agreement.journal,
		Withdraw: &withdrawal.Service{
			Journal:     d.agreement.journal,
			Peers:       d.agreement.heartbeats,
			Local:       d.keyWithdrawer(),
			PeerTimeout: d.settings.Timings.PeerTimeout,
		},
		Logger: d.logger,
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
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return ctx.Err()
}
