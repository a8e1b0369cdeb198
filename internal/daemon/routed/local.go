package routed

import (
	"maps"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/quota"
)

// local joins what instances tell each other with those who know and use it.
type local struct{ *Daemon }

// Versions implements mesh.Local.
func (l *local) Versions() mesh.Versions {
	return mesh.Versions{Config: l.view.Version(), RosterMark: l.view.RosterMark(), RosterDigest: l.view.RosterDigest(), StoreAge: l.view.StoreAge()}
}

// Describe implements mesh.Local.
func (l *local) Describe(beat *mesh.Beat) {
	beat.Leaving = l.leaving.Load()
	beat.Drains = l.view.Drains()
	beat.Held = l.placer.InFlight()
	beat.Admitted = l.meter.Own()
	beat.Levels = l.meter.Levels()
	beat.Informed = beat.Levels != nil
	beat.TellsLevels = beat.Informed
	beat.Partitions, beat.Generation = l.keeper.Owned()
	beat.HasLost = l.keeper.HasLostPartition()
	beat.Claims = l.runner.Claims()
}

// Newer implements mesh.Local.
func (l *local) Newer(args mesh.SnapshotArgs) mesh.SnapshotReply {
	reply := mesh.SnapshotReply{Config: l.view.ConfigNewerThan(args.ConfigVersion)}
	reply.Targets, reply.RosterMark, reply.Listed = l.view.TargetsNewerThan(args.RosterMark)
	return reply
}

// Adopt implements mesh.Local.
func (l *local) Adopt(reply mesh.SnapshotReply) {
	if len(reply.Config) > 0 {
		l.view.AdoptConfig(reply.Config, "peer")
	}
	if reply.Listed {
		l.view.AdoptTargets(reply.Targets, reply.RosterMark)
	}
}

// PeerHeard implements mesh.Local.
func (l *local) PeerHeard(beat mesh.Beat, patience time.Duration) {
	if !beat.Relayed {
		l.view.AdoptDrains(beat.Drains, "peer")
		l.placer.SetPeer(beat.From.Name, beat.Held)
	}
	var levels quota.Levels
	if beat.TellsLevels {
		levels = quota.Levels{}
		maps.Copy(levels, beat.Levels)
	}
	l.meter.Heard(quota.Report{
		Instance: beat.From.Name, Start: beat.From.Start, Uptime: beat.Uptime, Counts: beat.Admitted, Whole: beat.Whole,
		Informed: beat.Informed, Levels: levels, Patience: patience,
	})
}

// PeersAlive implements mesh.Local.
func (l *local) PeersAlive(signs []quota.Sign) { l.meter.Alive(signs) }

// PeerSilent implements mesh.Local. What a silent instance has at targets is not
// known any more; targets tell of it themselves.
func (l *local) PeerSilent(i mesh.Instance) {
	l.placer.SetPeer(i.Name, nil)
	l.broker.InstanceSilent(i.Name)
	l.calls.CloseConnections(i.Address)
}

// PeerGone implements mesh.Local.
func (l *local) PeerGone(name string) {
	l.placer.SetPeer(name, nil)
	l.broker.InstanceDown(name)
	l.meter.Gone(name)
}

// DomainSilent implements mesh.Local.
func (l *local) DomainSilent(domain string, silent bool) { l.placer.SetDomainSilent(domain, silent) }

// PeerListed implements mesh.Local.
func (l *local) PeerListed(name string) { l.meter.Expect(name) }
