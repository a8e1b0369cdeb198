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
	"slices"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fanout"
	"merlintiller/internal/protocol"
)

// spreadWidth is the number of instances told at the same time. 16 keeps 340
// instances at 22 rounds of a millisecond each and the sockets few.
const spreadWidth = 16

// Local makes a key stop working at this instance.
type Local interface {
	// WithdrawLocally takes effect before it returns and may be repeated.
	WithdrawLocally(key protocol.KeyID, operator string)
}

// Result says how far a withdrawal went.
type Result struct {
	// Log is the fate of the record in the control stream.
	Log coordination.Outcome
	// Confirmed are the other instances that have confirmed it.
	Confirmed []protocol.InstanceID
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
	s.Local.WithdrawLocally(key, operator)
	var result Result
	var wait sync.WaitGroup
	wait.Go(func() {
		record := protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: key, Operator: operator}}
		result.Log = s.Journal.Submit(ctx, record)
	})
	wait.Go(func() { result.Confirmed, result.Unreached = s.spread(ctx, key, operator) })
	wait.Wait()
	return result
}

func (s *Service) spread(ctx context.Context, key protocol.KeyID, operator string) (told, unreached []protocol.InstanceID) {
	question := fanout.Request{
		Method:  MethodWithdraw,
		Args:    Request{Key: key, Operator: operator},
		Timeout: s.PeerTimeout,
		Concurrency:   spreadWidth,
	}
	unreached = fanout.Call(ctx, s.Peers, question, func(to protocol.InstanceID, _ Done) error {
		told = append(told, to)
		return nil
	})
	slices.Sort(told)
	return told, unreached
}
