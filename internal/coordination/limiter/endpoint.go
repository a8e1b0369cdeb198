package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// Endpoint is what other instances call by net/rpc.
type Endpoint struct {
	limiter *Limiter
}

// Take moves tokens of a held slot to the caller.
func (e *Endpoint) Take(args *TakeArgs, reply *TakeReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.authorise(now)
	*reply = l.core.Take(now, *args)
	stats.Add("gives", 1)
	return nil
}

// Promise tells a holder that can't renew its session whether this instance
// keeps off its slots for now.
func (e *Endpoint) Promise(args *PromiseArgs, reply *PromiseReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Address = l.Address
	reply.Given = l.claims.Promise(time.Now(), args.Session)
	return nil
}

// Gone tells whether this process no longer uses the slots of a session.
func (e *Endpoint) Gone(args *GoneArgs, reply *GoneReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Address = l.Address
	reply.Gone = l.session != args.Session && l.Journal.Session() != args.Session
	return nil
}

// VersionArgs asks which configuration an instance follows.
type VersionArgs struct{}

// VersionReply is its answer.
type VersionReply struct {
	Version protocol.Offset
}

// Version tells which configuration the slots held here follow.
func (e *Endpoint) Version(_ *VersionArgs, reply *VersionReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Version = l.core.Version()
	return nil
}

// Handover takes in the tokens of a slot that this instance will claim.
func (e *Endpoint) Handover(args *HandoverArgs, _ *HandoverReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, slot := range args.Slots {
		l.core.ReceiveHandover(time.Now(), slot)
	}
	if args.Leaving != 0 {
		l.claims.Left(time.Now(), args.Leaving, args.Plan)
	}
	stats.Add("handovers", 1)
	return nil
}
