// Package withdrawal withdraws a caller's key on the whole fleet within seconds, even
// while the platform's log is down.
//
// A withdrawal is a tombstone on an id that is never reused. Withdrawals need no order,
// and applying one twice has no further effect. A withdrawal therefore uses three paths
// at the same time. The instance that the operator called applies it first. That
// instance then calls all other known instances and appends the record to the control
// stream, from which the unreachable instances read it later.
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

// maxConcurrentCalls is the number of instances called at the same time. With 16, 340
// instances take 22 rounds of a millisecond each and few sockets are open.
const maxConcurrentCalls = 16

// LocalWithdrawer withdraws keys at this instance.
type LocalWithdrawer interface {
	// WithdrawLocally withdraws a key. It takes effect before it returns and is
	// idempotent.
	WithdrawLocally(key protocol.KeyID, operator string)
}

// Result reports which instances a withdrawal has reached.
type Result struct {
	// Log is the outcome of the record in the control stream.
	Log coordination.Outcome
	// Confirmed holds the other instances that have confirmed the withdrawal, sorted
	// by name.
	Confirmed []protocol.InstanceID
	// Unreached holds the known instances that did not confirm the withdrawal in
	// time, sorted by name.
	Unreached []protocol.InstanceID
}

// Service withdraws keys.
type Service struct {
	Journal coordination.Journal
	Peers   coordination.Peers
	Local   LocalWithdrawer
	// PeerTimeout bounds the call to one instance.
	PeerTimeout time.Duration
}

// Withdraw withdraws a key. It returns once the outcome of the record is known or ctx
// is done, and every known instance was called.
func (s *Service) Withdraw(ctx context.Context, key protocol.KeyID, operator string) Result {
	s.Local.WithdrawLocally(key, operator)
	var result Result
	var tasks sync.WaitGroup
	tasks.Go(func() {
		record := protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: key, Operator: operator}}
		result.Log = s.Journal.Submit(ctx, record)
	})
	tasks.Go(func() { result.Confirmed, result.Unreached = s.withdrawAtPeers(ctx, key, operator) })
	tasks.Wait()
	return result
}

// withdrawAtPeers withdraws a key at every other known instance.
func (s *Service) withdrawAtPeers(ctx context.Context, key protocol.KeyID, operator string) (confirmed, unreached []protocol.InstanceID) {
	request := fanout.Request{
		Method:      MethodWithdraw,
		Args:        Request{Key: key, Operator: operator},
		Timeout:     s.PeerTimeout,
		Concurrency: maxConcurrentCalls,
	}
	unreached = fanout.Call(ctx, s.Peers, request, func(to protocol.InstanceID, _ Reply) error {
		confirmed = append(confirmed, to)
		return nil
	})
	slices.Sort(confirmed)
	return confirmed, unreached
}
