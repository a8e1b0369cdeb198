package routed

import (
	"maps"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/quota"
)

// local joins what instances tell each other with those who know and use it.
type local struct{ *Daemon }

// Versions implements mesh.Delegate.
func (l *local) Versions() mesh.Versions {
	return mesh.Versions{Config: l.view.Version(), RosterMark: l.view.RosterMark(), RosterDigest: l.view.RosterDigest(), StoreAge: l.view.StoreAge()}
}

// FillHeartbeat implements mesh.Delegate.
func (l *local) FillHeartbeat(beat *mesh.Heartbeat) {
	beat.Leaving = l.leaving.Load()
	beat.Drains = l.view.Drains()
	beat.Held = l.placer.InFlight()
	beat.Admitted = l.meter.AdmittedCounts()
	beat.Levels = l.meter.BucketLevels()
	beat.Informed = beat.Levels != nil
	beat.TellsLevels = beat.Informed
	beat.Partitions, beat.Generation = l.keeper.Owned()
	beat.HasLost = l.keeper.HasLostPartition()
	beat.Claims = l.runner.Claims()
}

// SnapshotSince implements mesh.Delegate.
func (l *local) SnapshotSince(args mesh.SnapshotArgs) mesh.SnapshotReply {
	reply := mesh.SnapshotReply{Config: l.view.ConfigNewerThan(args.ConfigVersion)}
	reply.Targets, reply.RosterMark, reply.Listed = l.view.TargetsNewerThan(args.RosterMark)
	return reply
}

// ApplySnapshot implements mesh.Delegate.
func (l *local) ApplySnapshot(reply mesh.SnapshotReply) {
	if len(reply.Config) > 0 {
		l.view.AdoptConfig(reply.Config, "peer")
	}
	if reply.Listed {
		l.view.AdoptTargets(reply.Targets, reply.RosterMark)
	}
}

// HeartbeatReceived implements mesh.Delegate.
func (l *local) HeartbeatReceived(beat mesh.Heartbeat, patience time.Duration) {
	if !beat.Relayed {
		l.view.AdoptDrains(beat.Drains, "peer")
		l.placer.SetPeer(beat.From.Name, beat.Held)
	}
	var levels quota.BucketLevels
	if beat.TellsLevels {
		levels = quota.BucketLevels{}
		maps.Copy(levels, beat.Levels)
	}
	l.meter.ApplyReport(quota.Report{
		Instance: beat.From.Name, Start: beat.From.Start, Uptime: beat.Uptime, Counts: beat.Admitted, Full: beat.Whole,
		HasQuotaState: beat.Informed, Levels: levels, SilenceTimeout: patience,
	})
}

// PeersConfirmedAlive implements mesh.Delegate.
func (l *local) PeersConfirmedAlive(signs []quota.Liveness) { l.meter.ConfirmAlive(signs) }

// PeerSilent implements mesh.Delegate. What a silent instance has at targets is not
// known any more; targets tell of it themselves.
func (l *local) PeerSilent(i mesh.Instance) {
	l.placer.SetPeer(i.Name, nil)
	l.broker.InstanceSilent(i.Name)
	l.calls.CloseConnections(i.Address)
}

// PeerDown implements mesh.Delegate.
func (l *local) PeerDown(name string) {
	l.placer.SetPeer(name, nil)
	l.broker.InstanceDown(name)
	l.meter.MarkDown(name)
}

// SetDomainSilent implements mesh.Delegate.
func (l *local) SetDomainSilent(domain string, silent bool) { l.placer.SetDomainSilent(domain, silent) }

// PeerDiscovered implements mesh.Delegate.
func (l *local) PeerDiscovered(name string) { l.meter.AddPeer(name) }
