package daemon

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/coordination/journal"
	"merlintiller/internal/coordination/member"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/transport/inputbudget"
	"merlintiller/internal/transport/peer"
)

// clusterState holds the replicated journal and the connections to the other instances.
type clusterState struct {
	journal    *journal.Journal
	heartbeats *member.Heartbeats
	peerServer *peer.Server
	peerClient *peer.Client
}

func (a *clusterState) services() []suture.Service {
	return append(a.journal.Services(), a.heartbeats, a.peerServer)
}

func (d *Daemon) setupCluster() error {
	s := d.settings
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return trace.Wrap(err, "opening the listener for peers at %s", s.Listen.Peers)
	}
	a := &d.cluster
	a.peerServer = peer.NewServer(listener, d.tls.Peers.Server(), d.logger)
	limits := inputLimitsOf(s.Limits)
	a.peerServer.BoundConnections(limits.peerConnections)
	a.peerServer.BoundInput(inputbudget.New(limits.messages))
	a.peerClient = peer.NewClient(d.tls.Peers.Client())
	a.heartbeats = member.NewHeartbeats(member.Options{
		Instance: s.Instance,
		Domain:   s.Domain,
		Address:  s.Listen.Peers,
		Caller:   a.peerClient,
		Logger:   d.logger,
		Seeds:    s.Seeds,
		Interval: s.Timings.Heartbeat,
		Timeout:  s.Timings.PeerTimeout,
		Limits:   viewLimits(s.Timings),
	})
	a.journal = journal.New(journal.Options{
		Log:           d.adapters.log,
		Instance:      s.Instance,
		Domain:        s.Domain,
		PeerAddress:   s.Listen.Peers,
		CallerAddress: s.Listen.Callers,
		Snapshots:     a.heartbeats,
		Logger:        d.logger,
		Seed:          randomSeed(s.Instance),
		RingName:      "journal",
		Timings:       journalTimings(s.Timings),
	})
	a.heartbeats.Attach(a.journal)
	return nil
}

// registerReceivers registers the services that other instances may call.
func (d *Daemon) registerReceivers() error {
	receivers := map[string]any{
		member.ServiceName:      d.cluster.heartbeats.Receiver(),
		withdrawal.ServiceName:  &withdrawal.Receiver{Local: d.cluster.journal},
		batch.ReceiverName:      &batch.Receiver{Executor: d.batch.executor},
		limiterName:             d.fleet.limits.Endpoint(),
		headroomName:            d.fleet.headroom.Endpoint(),
		burn.ServiceName:        &burn.Receiver{Recorder: d.operators.recorder},
		fleetstatus.ServiceName: &fleetstatus.Receiver{Source: d.operators.source},
	}
	for name, receiver := range receivers {
		if err := d.cluster.peerServer.Register(name, receiver); err != nil {
			return trace.Wrap(err, "receiver %s", name)
		}
	}
	return nil
}
