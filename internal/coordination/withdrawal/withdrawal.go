// Package withdrawal makes a caller's key stop working everywhere within
// seconds, also while the platform's log is down.
//
// A withdrawal is a tombstone on an id that is never reused, so it needs no
// order and does no harm if it comes twice. It therefore goes three ways at
// once: it takes effect at the instance that the operator reached, is handed
// directly to every other instance that can be reached, and is appended to the
// control stream, which brings it to the rest.
package withdrawal

import (
	"context"
	"sort"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// spreadWidth is the number of instances told at the same time. 16 keeps 340
// instances at 22 rounds of a millisecond each and the sockets few.
const spreadWidth = 16

// Local makes a key stop working at this instance.
type Local interface {
	// WithdrawLocally takes effect before it returns and may be repeated.
	WithdrawLocally(key protocol.KeyID)
}

// Result says how far a withdrawal went.
type Result struct {
	// Log is the fate of the record in the control stream.
	Log coordination.Outcome
	// Told are the other instances that have confirmed it.
	Told []protocol.InstanceID
	// Unreached are the known instances that did not confirm it in time.
	Unreached []protocol.InstanceID
}

// Service withdraws keys.
type Service struct {
	Journal coordination.Journal
	Peers   coordination.Peers
	Local   Local
	// PeerTimeout bounds the call to one instance.
	PeerTimeout time.Duration
}

// Withdraw withdraws a key. It returns when the record is settled or ctx ends,
// and every known instance was asked.
func (s *Service) Withdraw(ctx context.Context, key protocol.KeyID, operator string) Result {
	s.Local.WithdrawLocally(key)
	var result Result
	var wait sync.WaitGroup
	wait.Go(func() {
		record := protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: key, Operator: operator}}
		result.Log = s.Journal.Submit(ctx, record)
	})
	wait.Go(func() { result.Told, result.Unreached = s.spread(ctx, key) })
	wait.Wait()
	return result
}

// spread tells every known instance, also those that seem unreachable: a
// missed heartbeat is no proof.
func (s *Service) spread(ctx context.Context, key protocol.KeyID) (told, unreached []protocol.InstanceID) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	places := make(chan struct{}, spreadWidth)
	for _, peer := range s.Peers.List() {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			ok := s.tell(ctx, peer.Instance, key)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				told = append(told, peer.Instance)
			} else {
				unreached = append(unreached, peer.Instance)
			}
		})
	}
	wait.Wait()
	sortInstances(told)
	sortInstances(unreached)
	return told, unreached
}

func (s *Service) tell(ctx context.Context, to protocol.InstanceID, key protocol.KeyID) bool {
	ctx, cancel := context.WithTimeout(ctx, s.PeerTimeout)
	defer cancel()
	var done Done
	return s.Peers.Call(ctx, to, MethodWithdraw, Request{Key: key}, &done) == nil
}

func sortInstances(ids []protocol.InstanceID) {
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
}
