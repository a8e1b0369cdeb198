package limiter

import (
	"time"
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
	reply.Given = l.claims.Promise(time.Now(), args.Session)
	return nil
}

// Gone tells whether this process no longer uses the slots of a session.
func (e *Endpoint) Gone(args *GoneArgs, reply *GoneReply) error {
	l := e.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Gone = l.session != args.Session && l.Journal.Session() != args.Session
	return nil
}
