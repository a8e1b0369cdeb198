package journal

import (
	"context"
	"time"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
	"merlintiller/internal/state/session"
	"merlintiller/internal/wait"
)

// renewer is the background service that opens and renews the instance's own
// session.
type renewer struct {
	*Journal
}

// String names the service.
func (r *renewer) String() string { return "session renewer" }

// Serve opens and renews the session until ctx ends.
func (r *renewer) Serve(ctx context.Context) error {
	select {
	case <-r.Loaded():
	case <-ctx.Done():
		return ctx.Err()
	}
	for ctx.Err() == nil {
		r.runNextAction(ctx)
	}
	return ctx.Err()
}

func (r *renewer) runNextAction(ctx context.Context) {
	r.holderMu.Lock()
	action, wait := r.holder.Next(time.Now())
	session := r.holder.Session()
	r.holderMu.Unlock()
	switch action {
	case member.Open:
		r.open(ctx)
	case member.Renew:
		r.renew(ctx, session)
	case member.Leave:
		<-ctx.Done()
	default:
		pause(ctx, wait, r.renewerWake)
	}
}

// open submits an open record and waits for its outcome without a time limit.
// If it opened a second session while the outcome of the first was unknown, one
// of the two would have to expire.
func (r *renewer) open(ctx context.Context) {
	id := r.opts.NewSession()
	outcome := r.submit(ctx, protocol.Record{SessionOpen: &protocol.SessionOpen{
		Instance:      r.opts.Instance,
		Domain:        r.opts.Domain,
		PeerAddress:   r.opts.PeerAddress,
		CallerAddress: r.opts.CallerAddress,
	}}, id)
	if outcome.Accepted() || ctx.Err() != nil {
		return
	}
	r.event("session_open_failed", "session", id, "verdict", outcome.Verdict, "err", outcome.Err)
	pause(ctx, r.timings.BackoffMax, nil)
}

// renew submits a renewal and cancels it when the next one is due. A slow log
// then does not keep the holder at an old sending time.
func (r *renewer) renew(ctx context.Context, session protocol.SessionID) {
	r.holderMu.Lock()
	r.holder.RenewalAttempted(time.Now())
	r.holderMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.timings.Session.Renew)
	defer cancel()
	outcome := r.submit(ctx, protocol.Record{SessionRenew: &protocol.SessionRenew{}}, session)
	if !outcome.Accepted() && ctx.Err() == nil {
		r.event("renewal_failed", "session", session, "verdict", outcome.Verdict, "err", outcome.Err)
	}
}

// observer is the background service that proposes the expiry of silent
// sessions.
type observer struct {
	*Journal
	detector *member.Observer
}

// String names the service.
func (o *observer) String() string { return "session observer" }

// Serve checks the open sessions every CheckInterval until ctx ends.
func (o *observer) Serve(ctx context.Context) error {
	return wait.Every(ctx, o.timings.CheckInterval, func() { o.checkSessions(ctx) })
}

func (o *observer) checkSessions(ctx context.Context) {
	evidence, atEnd := o.progress.evidence()
	evidence.OwnSession = o.Session()
	evidence.RenewalsAccepted = atEnd && o.LogUp() && o.MayHold()
	var open []session.Info
	o.View(func(s *replica.State) { open = s.Sessions.All() })
	for _, proposal := range o.detector.Observe(time.Now(), evidence, open) {
		o.proposeExpiry(ctx, proposal)
	}
}

// proposeExpiry submits an expiry. Its outcome is visible in the replayed
// state. A proposal that takes longer than a renewal interval is cancelled and
// made again from the current state.
func (o *observer) proposeExpiry(ctx context.Context, proposal protocol.SessionExpire) {
	ctx, cancel := context.WithTimeout(ctx, o.timings.Session.Renew)
	defer cancel()
	outcome := o.Submit(ctx, protocol.Record{SessionExpire: &proposal})
	o.event("expiry_proposed", "session", proposal.Session, "verdict", outcome.Verdict, "err", outcome.Err)
}
