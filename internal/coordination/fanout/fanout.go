// Package fanout asks all known instances the same thing at the same time.
package fanout

import (
	"context"
	"slices"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// Request is what is asked.
type Request struct {
	// Method is the net/rpc method, "Service.Method".
	Method string
	Args   any
	// Timeout bounds the call to one instance.
	Timeout time.Duration
	// Concurrency is the number of instances asked at the same time. It bounds the
	// answers that are in memory at once.
	Concurrency int
}

// Call asks every instance that peers lists, also those that seem unreachable:
// a missed heartbeat is no proof. take gets each answer, one at a time; an
// error of it counts the instance as unreached. Call returns the instances that
// were not reached, sorted.
func Call[R any](ctx context.Context, peers coordination.Peers, q Request, take func(protocol.InstanceID, R) error) []protocol.InstanceID {
	var mu sync.Mutex
	var wait sync.WaitGroup
	unreached := []protocol.InstanceID{}
	places := make(chan struct{}, q.Concurrency)
	for _, peer := range peers.List() {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			answer, err := one[R](ctx, peers, peer.Instance, q)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = take(peer.Instance, answer)
			}
			if err != nil {
				unreached = append(unreached, peer.Instance)
			}
		})
	}
	wait.Wait()
	slices.Sort(unreached)
	return unreached
}

func one[R any](ctx context.Context, peers coordination.Peers, to protocol.InstanceID, q Request) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	// The reply is dropped after an error: a late answer may still be
	// written to it.
	reply := new(R)
	if err := peers.Call(ctx, to, q.Method, q.Args, reply); err != nil {
		var none R
		return none, err
	}
	return *reply, nil
}
