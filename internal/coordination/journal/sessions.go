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

// renewer is the duty that keeps the own session.
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
		r.step(ctx)
	}
	return ctx.Err()
}

func (r *renewer) step(ctx context.Context) {
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
		pause(ctx, wait, r.wake)
	}
}

// open submits an open record and waits for its fate as long as it takes: a
// second session opened beside a first of unknown fate would have to expire.
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

// renew submits a renewal and gives it up when the next is due, so that a slow
// log doesn't keep the holder at an old time of sending.
func (r *renewer) renew(ctx context.Context, session protocol.SessionID) {
	r.holderMu.Lock()
	r.holder.Tried(time.Now())
	r.holderMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.timings.Session.Renew)
	defer cancel()
	outcome := r.submit(ctx, protocol.Record{SessionRenew: &protocol.SessionRenew{}}, session)
	if !outcome.Accepted() && ctx.Err() == nil {
		r.event("renewal_failed", "session", session, "verdict", outcome.Verdict, "err", outcome.Err)
	}
}

// observer is the duty that proposes the expiry of silent sessions.
type observer struct {
	*Journal
	decide *member.Observer
}

// String names the service.
func (o *observer) String() string { return "session observer" }

// Serve looks at the open sessions at each tick until ctx ends.
func (o *observer) Serve(ctx context.Context) error {
	return wait.Every(ctx, o.timings.Tick, func() { o.look(ctx) })
}

func (o *observer) look(ctx context.Context) {
	evidence, atEnd := o.progress.evidence()
	evidence.Own = o.Session()
	evidence.Confirmed = atEnd && o.LogUp() && o.MayHold()
	var open []session.Info
	o.View(func(s *replica.State) { open = s.Sessions.All() })
	for _, proposal := range o.decide.Observe(time.Now(), evidence, open) {
		o.propose(ctx, proposal)
	}
}

// propose submits an expiry. Its fate shows in the replayed state; a proposal
// that gets stuck is given up and made again from a fresh view.
func (o *observer) propose(ctx context.Context, proposal protocol.SessionExpire) {
	ctx, cancel := context.WithTimeout(ctx, o.timings.Session.Renew)
	defer cancel()
	outcome := o.Submit(ctx, protocol.Record{SessionExpire: &proposal})
	o.event("expiry_proposed", "session", proposal.Session, "verdict", outcome.Verdict, "err", outcome.Err)
}
