package limiter

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
)

// ReceiverName is the name under which the Endpoint is registered with net/rpc.
const ReceiverName = "Limiter"

var stats = expvar.NewMap("limiter")

// Config wires a Limiter.
type Config struct {
	Self   protocol.InstanceID
	Domain protocol.Domain
	// Address is the own peer address, as the session's open record has it.
	Address  string
	Journal  coordination.Journal
	Peers    coordination.Peers
	Settings Settings
	Logger   log.Logger
}

// Limiter implements coordination.Limits: it runs the pure Core against the
// clock, the journal and the other instances.
type Limiter struct {
	Config
	agreed *agreed

	mu        sync.Mutex
	core      *Core
	claims    *Claims
	extension *extension
	// session is the one under which the core's slots are held.
	session    protocol.SessionID
	leaving    bool
	suspension suspension
	// renewedAt is when the own latest renewal was first seen.
	renewedAt time.Time

	ahead   *ring.Ring[*TakeCall]
	actions *ring.Ring[ClaimAction]
	// pending are the slots with an action in the ring.
	pending map[SlotKey]bool
}

// Capacities of the rings between the duties. A drop costs an exchange later.
const (
	aheadCapacity  = 256
	actionCapacity = 2 * SlotsPerDomain
)

// New returns a limiter that holds nothing yet. Its Services must run.
func New(config Config) *Limiter {
	return &Limiter{
		Config:    config,
		agreed:    newAgreed(config.Journal),
		core:      NewCore(config.Self, config.Domain, config.Settings),
		claims:    NewClaims(config.Self, config.Domain, config.Settings),
		extension: newExtension(config.Settings),
		ahead:     ring.New[*TakeCall]("limiter.ahead", aheadCapacity),
		actions:   ring.New[ClaimAction]("limiter.actions", actionCapacity),
		pending:   map[SlotKey]bool{},
	}
}

// Services are the limiter's duties, for the supervisor.
func (l *Limiter) Services() []suture.Service {
	return []suture.Service{
		&slotService{limiter: l},
		&claimService{limiter: l},
		&promiseService{limiter: l},
		&fetchService{limiter: l},
		&settleService{limiter: l},
	}
}

// Endpoint is the net/rpc receiver, to be registered under ReceiverName.
func (l *Limiter) Endpoint() *Endpoint {
	return &Endpoint{limiter: l}
}

// Admit implements coordination.Limits.
func (l *Limiter) Admit(ctx context.Context, org protocol.OrganisationID, tokens float64) *protocol.Refusal {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	request := Request{Organisation: org, Tokens: tokens}
	for {
		verdict := l.decide(&request)
		switch {
		case verdict.Granted:
			stats.Add("admitted", 1)
			l.fetch(verdict.Prefetch)
			return nil
		case verdict.Unknown:
			return l.unknown(org)
		case verdict.Call != nil && ctx.Err() == nil:
			l.exchange(ctx, verdict.Call)
		default:
			stats.Add("refused", 1)
			for _, back := range verdict.Returns {
				l.fetch(back)
			}
			return protocol.Refuse(protocol.CodeRateLimited, verdict.retryAfter(), "organisation %s is above its rate", org)
		}
	}
}

// unknown refuses an organisation that the core does not know. A configuration
// is in force for the keys at once and for the core up to changeDebounce later:
// a caller with a new key must not be told to go away for good meanwhile.
func (l *Limiter) unknown(org protocol.OrganisationID) *protocol.Refusal {
	stats.Add("refused", 1)
	if _, ok := l.Journal.Fleet().Organisations[org]; ok {
		return protocol.Refuse(protocol.CodeRateLimited, changeDebounce, "organisation %s came into force just now and has no tokens yet", org)
	}
	return protocol.Refuse(protocol.CodeForbidden, 0, "organisation %s is not configured", org)
}

// minRetryAfter is told when exchanges ran out of time: tokens may be there.
const minRetryAfter = 100 * time.Millisecond

func (v Verdict) retryAfter() time.Duration {
	return max(v.RetryAfter, minRetryAfter)
}

func (l *Limiter) decide(request *Request) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.authorise(now)
	return l.core.Decide(now, request)
}

// authorise says until when the held slots may be used. It is asked at every
// decision, because a process that was paused must notice before it grants.
func (l *Limiter) authorise(now time.Time) {
	if l.suspension.passed(now) {
		l.core.forgetPerishable()
		l.extension.lapsed = true
	}
	switch {
	case l.session == 0 || l.Journal.Session() != l.session:
		l.core.SetUsableUntil(time.Time{})
	case l.Journal.MayHold():
		l.core.SetUsableUntil(now.Add(1))
	case l.agreed.ownRenewal(l.session) != l.extension.settled:
		// The electorate may miss a mate that the journal has read already, or
		// the session has ended. The next look tells.
		l.core.SetUsableUntil(time.Time{})
	default:
		l.core.SetUsableUntil(l.extension.until(now))
	}
}

// fetch takes tokens ahead of need in the background.
func (l *Limiter) fetch(ask *TakeCall) {
	if ask == nil || l.ahead.Offer(ask) {
		return
	}
	l.answered(ask, TakeReply{}, true)
}

// exchange asks a holder and takes in its answer.
func (l *Limiter) exchange(ctx context.Context, ask *TakeCall) {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.CallTimeout)
	defer cancel()
	var reply TakeReply
	err := l.Peers.Call(ctx, ask.Holder, ReceiverName+".Take", &ask.Args, &reply)
	stats.Add("takes", 1)
	if err != nil {
		stats.Add("takes_failed", 1)
		// net/rpc may still be writing to the abandoned reply.
		reply = TakeReply{}
	}
	l.answered(ask, reply, err != nil)
}

func (l *Limiter) answered(ask *TakeCall, reply TakeReply, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleReply(time.Now(), ask, reply, failed)
}
