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
	"merlintiller/internal/wait"
)

// ReceiverName is the name under which the Endpoint is registered with net/rpc.
const ReceiverName = "Limiter"

var stats = expvar.NewMap("limiter")

// Config holds the identity and the dependencies of a Limiter.
type Config struct {
	Self   protocol.InstanceID
	Domain protocol.Domain
	// Address is this instance's peer address, equal to the one in the record
	// that opened its session.
	Address  string
	Journal  coordination.Journal
	Peers    coordination.Peers
	Settings Settings
	Logger   log.Logger
}

// Limiter implements coordination.Limits. It connects Core, which does no I/O,
// to the clock, the journal and the other instances.
type Limiter struct {
	Config
	state *stateReader

	// reconciling is held by reconcile, so that an older view is not applied after a newer
	// one. It is locked before mu.
	reconciling sync.Mutex

	mu        sync.Mutex
	core      *Core
	claims    *ClaimPolicy
	extension *extension
	// session is the session under which the slots in core are held.
	session    protocol.SessionID
	leaving    bool
	suspension suspension
	// renewedAt is when the latest renewal of this instance's session was first
	// seen in the replayed state.
	renewedAt time.Time

	backgroundCalls *ring.Ring[*TakeCall]
	actions         *ring.Ring[ClaimAction]
	// pendingActions are the slots that have an action in the actions ring.
	pendingActions map[SlotKey]bool
}

// Capacities of the rings between the background services. A dropped entry
// costs an additional call or a retry later.
const (
	backgroundCapacity = 256
	actionCapacity     = 2 * SlotsPerDomain
)

// New returns a limiter without slots. The caller must run its Services.
func New(config Config) *Limiter {
	return &Limiter{
		Config:          config,
		state:           newStateReader(config.Journal),
		core:            NewCore(config.Self, config.Domain, config.Settings),
		claims:          NewClaimPolicy(config.Self, config.Domain, config.Settings),
		extension:       newExtension(config.Settings),
		backgroundCalls: ring.New[*TakeCall]("limiter.ahead", backgroundCapacity),
		actions:         ring.New[ClaimAction]("limiter.actions", actionCapacity),
		pendingActions:  map[SlotKey]bool{},
	}
}

// Services returns the limiter's background services, to be run by a
// supervisor.
func (l *Limiter) Services() []suture.Service {
	return []suture.Service{
		&reconcileService{limiter: l},
		&claimService{limiter: l},
		&promiseService{limiter: l},
		&backgroundCallService{limiter: l},
		&rolloutService{limiter: l},
	}
}

// Endpoint returns the net/rpc receiver, to be registered under ReceiverName.
func (l *Limiter) Endpoint() *Endpoint {
	return &Endpoint{limiter: l}
}

// Admit implements coordination.Limits.
func (l *Limiter) Admit(ctx context.Context, org protocol.OrganisationID, tokens float64) *protocol.Refusal {
	request := Request{Organisation: org, Tokens: tokens}
	attempt := newAttempt(ctx, l.Settings)
	for {
		request.OutOfTime = attempt.outOfTime(ctx)
		decision := l.decide(&request, attempt)
		switch {
		case decision.Granted:
			stats.Add("admitted", 1)
			l.callInBackground(decision.Prefetch)
			return nil
		case decision.Unknown && !attempt.caughtUp:
			attempt.caughtUp = true
			l.catchUp()
		case decision.Unknown:
			return l.rejectUnknown(org)
		case decision.Call != nil:
			l.callForRequest(ctx, attempt, &request, decision.Call)
		default:
			return l.reject(ctx, &request, attempt, decision)
		}
	}
}

// reject ends a decision that got no tokens.
func (l *Limiter) reject(ctx context.Context, request *Request, attempt *attempt, decision Decision) *protocol.Refusal {
	stats.Add("refused", 1)
	for _, back := range decision.Returns {
		l.callInBackground(back)
	}
	l.logRefusal(request, attempt, decision)
	return refusal(ctx, request, decision)
}

// refusal returns the answer to a request that got no tokens.
func refusal(ctx context.Context, request *Request, decision Decision) *protocol.Refusal {
	org, retryAfter := request.Organisation, decision.retryAfter()
	switch {
	case ctx.Err() != nil:
		return protocol.Refuse(protocol.CodeDeadline, retryAfter, "the deadline passed before organisation %s was granted a token", org)
	case request.OutOfTime || decision.NotReached:
		return protocol.Refuse(protocol.CodeRateLimited, retryAfter, "organisation %s got no token: instances that hold its tokens did not answer in time, or are not known yet", org)
	default:
		return protocol.Refuse(protocol.CodeRateLimited, retryAfter, "organisation %s exceeds its rate", org)
	}
}

// catchUp applies the replayed state if the core's configuration is older. Key checks apply a
// new configuration immediately, and the core applies it up to changeDebounce later. Without
// catchUp, an instance that has just started, or whose configuration has just changed, would
// refuse callers until then.
func (l *Limiter) catchUp() {
	version := l.Journal.Fleet().Version
	l.reconciling.Lock()
	defer l.reconciling.Unlock()
	if l.configVersion() < version {
		l.reconcileLocked()
	}
}

func (l *Limiter) configVersion() protocol.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Version()
}

// rejectUnknown rejects a request of an organisation that the core does not know. A caller
// with a new key must not get a permanent rejection if the configuration arrives just now.
func (l *Limiter) rejectUnknown(org protocol.OrganisationID) *protocol.Refusal {
	stats.Add("refused", 1)
	if _, ok := l.Journal.Fleet().Organisations[org]; ok {
		return protocol.Refuse(protocol.CodeRateLimited, changeDebounce, "the configuration of organisation %s is not yet in effect on this instance", org)
	}
	return protocol.Refuse(protocol.CodeForbidden, 0, "organisation %s is not configured", org)
}

// minRetryAfter is the shortest retry delay that a rejection states. It applies
// if the calls of a decision timed out, because other holders may have tokens.
const minRetryAfter = 100 * time.Millisecond

func (d Decision) retryAfter() time.Duration {
	return max(d.RetryAfter, minRetryAfter)
}

func (l *Limiter) decide(request *Request, attempt *attempt) Decision {
	asked := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	attempt.lockWait += now.Sub(asked)
	l.refreshUsableUntil(now)
	return l.core.Decide(now, request)
}

// refreshUsableUntil updates the time until which the held slots may be used.
// It runs before every decision, because a process that was paused must detect
// this before it grants tokens.
func (l *Limiter) refreshUsableUntil(now time.Time) {
	if l.suspension.detected(now) {
		l.core.discardTimeLimited()
		l.extension.lapsed = true
	}
	switch {
	case l.session == 0 || l.Journal.Session() != l.session:
		l.core.SetUsableUntil(time.Time{})
	case l.Journal.MayHold():
		l.core.SetUsableUntil(now.Add(1))
	case l.state.latestRenewal(l.session) != l.extension.coveredRenewal:
		// Either the set of required peers may lack a peer that the journal has
		// already read, or the session has ended. The next reconcile finds out
		// which.
		l.core.SetUsableUntil(time.Time{})
	default:
		l.core.SetUsableUntil(l.extension.validUntil(now))
	}
}

// callInBackground queues a Take call that no request waits for: a prefetch or
// the return of a fraction.
func (l *Limiter) callInBackground(call *TakeCall) {
	if call == nil || l.backgroundCalls.Offer(call) {
		return
	}
	l.dropCall(call)
}

// callForRequest sends a Take call that a request waits for.
func (l *Limiter) callForRequest(ctx context.Context, attempt *attempt, request *Request, call *TakeCall) {
	limit := min(l.Settings.CallTimeout, attempt.timeLeft)
	ended := l.call(ctx, call, limit)
	attempt.add(ended)
	if ended.outcome == callGranted {
		request.granted = call
	}
}

// call sends a Take call to the holder and applies the reply. The limit does not count time
// for which this process does not run: that is not the holder's silence.
func (l *Limiter) call(ctx context.Context, call *TakeCall, limit time.Duration) endedCall {
	callCtx, runTime := wait.WithRunTimeLimit(ctx, limit)
	var reply TakeReply
	err := l.Peers.Call(callCtx, call.Holder, ReceiverName+".Take", &call.Args, &reply)
	remaining, stalled := runTime.Stop()
	ended := endedCall{outcome: outcomeOf(ctx, call, &reply, err), used: limit - remaining, stalled: stalled}
	stats.Add("takes", 1)
	if err != nil {
		stats.Add("takes_failed", 1)
		// The call was abandoned and net/rpc may still write to its reply, so
		// the contents are discarded.
		reply = TakeReply{}
	}
	if ended.outcome == callAbandoned {
		l.dropCall(call)
	} else {
		l.handleReply(call, reply, err != nil)
	}
	return ended
}

// dropCall records that a call was not sent, or that nobody waits for it any more.
func (l *Limiter) dropCall(call *TakeCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.DropCall(call)
}

func (l *Limiter) handleReply(call *TakeCall, reply TakeReply, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleReply(time.Now(), call, reply, failed)
}
