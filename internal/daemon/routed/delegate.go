package routed

import (
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
)

// meshDelegate supplies the data for heartbeats and passes received data to the
// components of the instance that use it.
type meshDelegate struct {
	*Daemon
	// levelsFrom is what was last logged of where the levels of the rates are from. Only
	// Ticked uses it.
	levelsFrom string
}

// Versions implements mesh.Delegate.
func (m *meshDelegate) Versions() mesh.Versions {
	return mesh.Versions{Config: m.view.Version(), RosterMark: m.view.RosterMark(), RosterDigest: m.view.RosterDigest(), StoreAge: m.view.StoreAge(), ListAge: m.view.ListAge()}
}

// FillHeartbeat implements mesh.Delegate.
func (m *meshDelegate) FillHeartbeat(heartbeat *mesh.Heartbeat) {
	heartbeat.Leaving = m.leaving.Load()
	heartbeat.Drains = m.view.Drains()
	heartbeat.ListConfirmedAge = m.view.ListConfirmedAge()
	heartbeat.Held = m.placer.InFlight()
	heartbeat.SetRates(m.limiter)
	heartbeat.Partitions, heartbeat.Generation = m.partitionOwner.Owned()
	heartbeat.HasLost = m.partitionOwner.HasLostPartition()
	heartbeat.Claims = m.runner.Claims()
}

// SnapshotSince implements mesh.Delegate.
func (m *meshDelegate) SnapshotSince(args mesh.SnapshotArgs) mesh.SnapshotReply {
	reply := mesh.SnapshotReply{Config: m.view.ConfigNewerThan(args.ConfigVersion)}
	reply.Targets, reply.RosterMark, reply.Listed = m.view.TargetsNewerThan(args.RosterMark)
	return reply
}

// ApplySnapshot implements mesh.Delegate.
func (m *meshDelegate) ApplySnapshot(reply mesh.SnapshotReply) {
	if len(reply.Config) > 0 {
		m.view.AdoptConfig(reply.Config, "peer")
	}
	if reply.Listed {
		m.view.AdoptTargets(reply.Targets, reply.RosterMark, "peer")
	}
}

// HeartbeatReceived implements mesh.Delegate.
func (m *meshDelegate) HeartbeatReceived(heartbeat mesh.Heartbeat, silenceTimeout time.Duration) {
	if !heartbeat.Relayed {
		m.view.AdoptDrains(heartbeat.Drains, "peer")
		m.view.ListConfirmed(heartbeat.RosterDigest, heartbeat.ListConfirmedAge)
		m.placer.SetPeer(heartbeat.From.Name, heartbeat.Held)
	}
	m.limiter.ApplyReport(heartbeat.RateReport(silenceTimeout))
	m.instanceStarted(heartbeat.From.Name, heartbeat.From.Start)
}

// PeersConfirmedAlive implements mesh.Delegate.
func (m *meshDelegate) PeersConfirmedAlive(alive []quota.Liveness) { m.limiter.ConfirmAlive(alive) }

// PeerSilent implements mesh.Delegate. The requests that a silent instance runs at
// targets are no longer known from its heartbeats; the load reports of the targets
// include them.
func (m *meshDelegate) PeerSilent(i mesh.Instance) {
	m.placer.SetPeer(i.Name, nil)
	m.broker.InstanceSilent(i.Name)
	m.instanceLost(i.Name)
	m.peerClient.CloseConnections(i.Address)
}

// PeerDown implements mesh.Delegate.
func (m *meshDelegate) PeerDown(name string) {
	m.placer.SetPeer(name, nil)
	m.broker.InstanceDown(name)
	m.instanceLost(name)
	m.limiter.MarkDown(name)
}

// SetDomainSilent implements mesh.Delegate.
func (m *meshDelegate) SetDomainSilent(domain string, silent bool) {
	m.placer.SetDomainSilent(domain, silent)
}

// Ticked implements mesh.Delegate.
func (m *meshDelegate) Ticked(next time.Duration) {
	m.limiter.Tick(next)
	m.logLevels()
}

// logLevels logs where this instance has the levels of the rates from, once it has them.
func (m *meshDelegate) logLevels() {
	start := m.limiter.LevelsStart()
	from := start.From
	if from == m.levelsFrom || from == quota.LevelsUnknown {
		return
	}
	m.levelsFrom = from
	_ = level.Info(m.logger).Log("event", "rate_levels", "from", from, "instances", 1+len(m.mesh.Peers()), "config", m.view.Version(),
		"waited_ms", start.Wait.Milliseconds(), "silent", start.Silent)
}

// QuarantineSince implements mesh.Delegate.
func (m *meshDelegate) QuarantineSince(version uint64, ownEnds bool) *quarantine.Report {
	return m.quarantine.Since(version, ownEnds)
}

// QuarantineReceived implements mesh.Delegate.
func (m *meshDelegate) QuarantineReceived(from string, report *quarantine.Report) {
	m.quarantine.Merge(from, report)
}

// FleetKnown implements mesh.Delegate.
func (m *meshDelegate) FleetKnown() { m.limiter.SetFleetKnown() }

// PeerDiscovered implements mesh.Delegate.
func (m *meshDelegate) PeerDiscovered(name string) { m.limiter.AddPeer(name) }
