package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// Endpoint is the net/rpc receiver for calls from other instances.
type Endpoint struct {
	limiter *Limiter
}

// Take grants tokens of a held slot to the caller.
func (e *Endpoint) Take(args *TakeArgs, reply *TakeReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshUsableUntil(now)
	*reply = l.core.Take(now, *args)
	stats.Add("gives", 1)
	return nil
}

// Promise answers a holder that cannot renew its session: whether this instance
// promises not to claim the holder's slots for now.
func (e *Endpoint) Promise(args *PromiseArgs, reply *PromiseReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Address = l.Address
	reply.Given = l.claims.Promise(time.Now(), args.Session)
	return nil
}

// Gone reports whether this process does not use the slots of a session any
// more.
func (e *Endpoint) Gone(args *GoneArgs, reply *GoneReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Address = l.Address
	reply.Gone = l.session != args.Session && l.Journal.Session() != args.Session
	return nil
}

// VersionArgs asks for the configuration version that an instance has applied.
type VersionArgs struct{}

// VersionReply is the reply to VersionArgs.
type VersionReply struct {
	Version protocol.Offset
}

// Version returns the configuration version that the slots held here use.
func (e *Endpoint) Version(_ *VersionArgs, reply *VersionReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Version = l.core.Version()
	return nil
}

// Handover receives the tokens of slots that this instance will claim, and the
// plan of a leaving peer.
func (e *Endpoint) Handover(args *HandoverArgs, _ *HandoverReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, slot := range args.Slots {
		l.core.ReceiveHandover(time.Now(), slot)
	}
	if args.Leaving != 0 {
		l.claims.PeerLeaving(time.Now(), args.Leaving, args.Plan)
	}
	stats.Add("handovers", 1)
	return nil
}
