// Package fanout sends the same call to all known instances concurrently.
package fanout

import (
	"context"
	"slices"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// Request describes the call.
type Request struct {
	// Method is the net/rpc method, "Service.Method".
	Method string
	Args   any
	// Timeout bounds the call to one instance.
	Timeout time.Duration
	// Concurrency is the maximum number of calls in flight. It limits the replies
	// that are in memory at the same time.
	Concurrency int
}

// Call sends the request to every instance that peers lists. This includes peers
// that seem unreachable, because a missed heartbeat does not prove that an instance
// is down. handle is called with each reply, one at a time. If handle returns an
// error, the instance counts as unreached. Call returns the unreached instances,
// sorted.
func Call[R any](ctx context.Context, peers coordination.Peers, req Request, handle func(protocol.InstanceID, R) error) []protocol.InstanceID {
	var mu sync.Mutex
	var calls sync.WaitGroup
	unreached := []protocol.InstanceID{}
	inFlight := make(chan struct{}, req.Concurrency)
	for _, peer := range peers.List() {
		inFlight <- struct{}{}
		calls.Go(func() {
			defer func() { <-inFlight }()
			reply, err := callOne[R](ctx, peers, peer.Instance, req)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = handle(peer.Instance, reply)
			}
			if err != nil {
				unreached = append(unreached, peer.Instance)
			}
		})
	}
	calls.Wait()
	slices.Sort(unreached)
	return unreached
}

// callOne calls one instance.
func callOne[R any](ctx context.Context, peers coordination.Peers, to protocol.InstanceID, req Request) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	// The reply is discarded after an error, because net/rpc may still write a late
	// answer to it.
	reply := new(R)
	if err := peers.Call(ctx, to, req.Method, req.Args, reply); err != nil {
		var none R
		return none, err
	}
	return *reply, nil
}
