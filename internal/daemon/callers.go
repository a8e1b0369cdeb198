package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/batchapi"
	"merlintiller/internal/transport/edge"
)

// callers is the way of online calls, and the callers' HTTP server.
type callers struct {
	path *online.Handler
	edge *edge.Edge
}

func (c *callers) services() []suture.Service {
	return append(c.path.Services(), c.edge.Services()...)
}

func (d *Daemon) joinCallers() {
	d.operators.recorder = newRecorder(d.agreement.journal.Fleet)
	d.callers.path = online.New(online.Options{
		Fleet:            d.agreement.journal.Fleet,
		Keys:             d.keys,
		Limits:           d.fleet.limits,
		Admission:        d.fleet.admission,
		Router:           d.fleet.headroom.WrapRouter(d.fleet.router),
		Target:           d.outside.online,
		AtMostOnceTarget: d.outside.once,
		AtMostOnce:       d.batch.once,
		Loads:            d.outside.control,
		ConfigCurrent:    d.agreement.journal.ConfigCurrent,
		Observe:          d.operators.observe,
		Logger:           d.logger,
		Policy:           onlinePolicy(d.settings.Calls),
	})
	batchAPI := batchapi.New(d.batch.service, organisationOf, d.logger)
	d.callers.edge = edge.New(edge.Options{
		Listen: secured(d.settings.Listen.Callers, d.tls.Callers.Server()),
		Fleet:  d.agreement.journal.Fleet,
		Keys:   d.keys,
		Online: d.callers.path,
		Batch:  batchAPI.Handler(),
		Ready:  d.ready,
		Logger: d.logger,
		Limits: edgeLimits(d.settings),
	})
}

// ready says that the instance knows a state to serve by. Before, it would
// refuse every key; and after a pause of the process it would let in callers
// whose keys were withdrawn meanwhile.
func (d *Daemon) ready() bool { return d.agreement.journal.ConfigCurrent() }

// organisationOf names the organisation whose key came with the request.
func organisationOf(r *http.Request) protocol.OrganisationID {
	caller, _ := access.FromContext(r.Context())
	return caller.Organisation
}

// secured opens a listener with TLS, or a plain one where settings give no
// certificate.
func secured(address string, config *tls.Config) func() (net.Listener, error) {
	if config == nil {
		return listen(address)
	}
	return func() (net.Listener, error) { return tls.Listen("tcp", address, config) }
}
