package mesh

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/wait"
)

// noticeInterval is the least time between two rounds of notices. Ended targets that become known
// within it share a round.
const noticeInterval = 10 * time.Millisecond

var noticesSent = metrics.NewCounter(`quarantine_notices_total`)

// Notice carries a quarantine report ahead of the next heartbeat. It is encoded with gob, so its field
// names are part of the wire format. An earlier release does not know the call; its instances learn
// nothing of requests under which targets ended.
type Notice struct {
	From Instance
	// Since is the version that the receiver is taken to have, Report what changed after it.
	Since  uint64
	Report *quarantine.Report
}

// NoticeReply is the empty answer to a Notice.
type NoticeReply struct{}

// Notifier sends quarantine reports at once. A caller repeats a request some milliseconds after its
// target has ended, at any instance, and the next heartbeat may come half a second later. It is a
// background service.
type Notifier struct {
	mesh   *Mesh
	urgent <-chan struct{}
}

// Notifier returns the background service that sends a report whenever urgent is signalled.
func (m *Mesh) Notifier(urgent <-chan struct{}) *Notifier { return &Notifier{m, urgent} }

// String returns the name of the background service.
func (n *Notifier) String() string { return "quarantine-notifier" }

// Serve sends notices until ctx ends.
func (n *Notifier) Serve(ctx context.Context) error {
	for {
		select {
		case <-n.urgent:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, to := range n.mesh.noticeRecipients(time.Now()) {
			go n.mesh.notify(ctx, to)
		}
		if !wait.For(ctx, noticeInterval) {
			return ctx.Err()
		}
	}
}

// noticeRecipients returns the instances to which this one sends notices: all others of a small fleet, or
// its relays. A relay passes notices on to the relays of the other domains, and the first one also to the
// instances of its domain.
func (m *Mesh) noticeRecipients(now time.Time) (out []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	relays := m.view.usesRelays()
	m.view.each(now, func(e *entry, state State) {
		if state == Up && (!relays || m.isFirstRelay && e.Domain == m.self.Domain) {
			out = append(out, e.Instance)
		}
	})
	if !relays {
		return out
	}
	for _, p := range m.currentPartners(now) {
		if !m.isFirstRelay || p.Domain != m.self.Domain {
			out = append(out, p.Instance)
		}
	}
	return out
}

// notify sends an instance what it does not know yet. If the call fails, the next heartbeat brings it.
func (m *Mesh) notify(serving context.Context, to Instance) {
	ctx, cancel := context.WithTimeout(serving, callTimeout)
	defer cancel()
	m.mu.Lock()
	since := m.quarantineLink(to).sent
	ownEnds := m.tellsOwnEnds(to)
	m.mu.Unlock()
	notice := Notice{From: m.Self(), Since: since, Report: m.delegate.QuarantineSince(since, ownEnds)}
	if notice.Report == nil {
		return
	}
	noticesSent.Inc()
	if err := m.caller.Call(ctx, to.Address, methodNotify, &notice, &NoticeReply{}); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	link := m.quarantineLink(to)
	link.sent = max(link.sent, notice.Report.Version)
}

// quarantineLink returns the state of the reports to an incarnation of a peer. The caller holds mu.
func (m *Mesh) quarantineLink(to Instance) *quarantineLink {
	l := m.link(to.Address)
	if to.Start != l.start {
		l.start, l.ackedCounts, l.quarantine = to.Start, nil, quarantineLink{}
	}
	return &l.quarantine
}

// receiveNotice processes a notice.
func (m *Mesh) receiveNotice(notice *Notice) {
	if notice.Report == nil {
		return
	}
	m.delegate.QuarantineReceived(notice.From.Name, notice.Report)
	m.mu.Lock()
	defer m.mu.Unlock()
	read := &m.quarantineLink(notice.From).read
	if notice.Since == 0 || read.Start == notice.From.Start && read.Version >= notice.Since {
		*read = quarantine.Position{Start: notice.From.Start, Version: notice.Report.Version}
	}
}
