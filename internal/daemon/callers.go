package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/listening"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/batchapi"
	"merlintiller/internal/transport/edge"
)

// callerAPI holds the handler of online calls and the HTTP server for callers.
type callerAPI struct {
	online *online.Handler
	edge   *edge.Edge
}

func (c *callerAPI) services() []suture.Service {
	return append(c.online.Services(), c.edge.Services()...)
}

func (d *Daemon) setupCallers() error {
	listen, err := listening.Now("callers", d.settings.Listen.Callers, listenOptionalTLS(d.settings.Listen.Callers, d.tls.Callers.Server()))
	if err != nil {
		return trace.Wrap(err)
	}
	d.operators.recorder = newRecorder(d.cluster.journal.Fleet)
	d.callers.online = online.New(online.Options{
		Fleet:            d.cluster.journal.Fleet,
		Keys:             d.keys,
		Limits:           d.fleet.limits,
		Admission:        d.fleet.admission,
		Router:           d.fleet.headroom.WrapRouter(d.fleet.router),
		Target:           d.adapters.online,
		AtMostOnceTarget: d.adapters.atMostOnce,
		AtMostOnce:       d.batch.atMostOnce,
		Loads:            d.adapters.control,
		ConfigCurrent:    d.cluster.journal.ConfigCurrent,
		Observe:          d.operators.recordCall,
		Logger:           d.logger,
		Policy:           onlinePolicy(d.settings.Calls),
	})
	batchAPI := batchapi.New(d.batch.service, requestOrganisation, d.logger)
	d.callers.edge = edge.New(edge.Options{
		Listen: listen,
		Fleet:  d.cluster.journal.Fleet,
		Keys:   d.keys,
		Online: d.callers.online,
		Batch:  batchAPI.Handler(),
		Ready:  d.ready,
		Logger: d.logger,
		Limits: edgeLimits(d.settings),
		Input:  d.input,
	})
	return nil
}

// ready reports whether the instance has a current configuration. Without one it would
// reject every key, and after a pause of the process it would admit callers whose keys
// were withdrawn during the pause.
func (d *Daemon) ready() bool { return d.cluster.journal.ConfigCurrent() }

// requestOrganisation returns the organisation whose key authenticated the request.
func requestOrganisation(r *http.Request) protocol.OrganisationID {
	caller, _ := access.FromContext(r.Context())
	return caller.Organisation
}

// listenOptionalTLS returns a function that opens a TLS listener, or a plain TCP listener
// if the settings contain no certificate.
func listenOptionalTLS(address string, config *tls.Config) listening.OpenFunc {
	if config == nil {
		return listenTCP(address)
	}
	return func() (net.Listener, error) {
		listener, err := external.ListenTCP(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return &tlsListener{Listener: tls.NewListener(listener, config), tcp: listener}, nil
	}
}

// tlsListener accepts TLS connections from a TCP listener.
type tlsListener struct {
	net.Listener
	tcp net.Listener
}

// Unwrap returns the TCP listener.
func (l *tlsListener) Unwrap() net.Listener { return l.tcp }
