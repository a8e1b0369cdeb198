package broker

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/roster"
)

const (
	// requestTimeout bounds a call to a broker, in addition to the time for which the
	// request may wait there. A broker answers within a millisecond or two. If it does not,
	// the next one is asked, and the request must still be on time.
	requestTimeout = 60 * time.Millisecond
	// brokerAvoidance is how long a broker that did not answer is not asked again.
	brokerAvoidance = time.Second
	// onlineWait is how long a request waits at one broker before it asks the others
	// again.
	onlineWait = 100 * time.Millisecond
	// batchWait is the same for a batch item.
	batchWait = 200 * time.Millisecond
	// freeMaxAge is how long a reply that a domain has no free slot is used.
	freeMaxAge = 50 * time.Millisecond
	// reportInterval is how often a broker gets a full report of the holds.
	reportInterval = 400 * time.Millisecond
)

var (
	answeredRequests = metrics.NewCounter(`broker_asks_total{outcome="answered"}`)
	failedCalls      = metrics.NewCounter(`broker_asks_total{outcome="failed"}`)
	// loadReports counts the reports to brokers about targets that had more requests than
	// the broker knew of.
	loadReports          = metrics.NewCounter(`broker_load_reports_total`)
	choicesWithoutBroker = metrics.NewCounter(`broker_choices_without_total`)
)

// Peers are the other instances.
type Peers interface {
	// Up returns the instances of a failure domain that are reachable and not leaving.
	Up(domain string) []mesh.Instance
	// CountNotDown returns the number of instances of a failure domain whose processes are not
	// known to be down.
	CountNotDown(domain string) int
}

// ClientOptions configure a Client.
type ClientOptions struct {
	Self   mesh.Instance
	Peers  Peers
	Caller protocol.Caller
	// Broker is this instance's own broker, used while the instance ranks first in its
	// domain.
	Broker *Broker
	// Local chooses targets while no broker answers, and knows which targets this instance
	// does not trust.
	Local *placement.Placer
	// Connected reports whether an idle connection to an address is kept.
	Connected func(address string) bool
	// FairQueue asks brokers to divide scarce slots by the weights of organisations, and to
	// reject requests that cannot get a slot in time.
	FairQueue bool
	// ListAge returns the age of the list of targets, and ListedAs the state in which a target is
	// listed here, for log lines. They are called without the client's lock. Nil: not known.
	ListAge  func() time.Duration
	ListedAs func(id string) roster.ListedState
	Logger   log.Logger
}

// Client requests slots from brokers. It is a background service and safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu sync.Mutex
	// lastNumber is the number of the last requested hold.
	lastNumber uint64
	holds      map[uint64]Hold
	// targets are the usable targets, listMark is the mark of their list.
	targets  map[string]roster.Target
	listMark int64
	domains  map[string]*domain
	// outboxes, avoidUntil and reportedAt are by the address of a broker: its queued
	// releases, the time until which it is not asked, and the time of its last full report.
	outboxes   map[string]*outbox
	avoidUntil map[string]time.Time
	reportedAt map[string]time.Time
	// rankings are by failure domain.
	rankings map[string]*ranking
	// failureReportedAt is when the failure of a target was last reported.
	failureReportedAt map[string]time.Time
	// paceReports decide which paces are reported to brokers.
	paceReports  *pace.Reports
	paceLog      *pace.LineLimit
	malformedLog *pace.LineLimit
	// progress is by the number of a hold of a batch item.
	progress map[uint64]itemProgress
	// waitsLoggedAt is when a line about an item that waits for the forecast was last written.
	waitsLoggedAt time.Time
}

// domain is the state kept for one failure domain.
type domain struct {
	// free is the number of free slots that its broker reported last, and freeAt when.
	free   int
	freeAt time.Time
}

// NewClient returns a client without holds.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts: opts, holds: map[uint64]Hold{}, targets: map[string]roster.Target{}, domains: map[string]*domain{},
		outboxes: map[string]*outbox{}, avoidUntil: map[string]time.Time{}, reportedAt: map[string]time.Time{}, rankings: map[string]*ranking{},
		failureReportedAt: map[string]time.Time{}, progress: map[uint64]itemProgress{},
		paceReports: pace.NewReports(),
		paceLog:     pace.NewLineLimit(), malformedLog: pace.NewLineLimit(),
	}
}

// SetTargets replaces the list of usable targets by the one that has been applied up to a mark.
func (c *Client) SetTargets(mark int64, list []roster.Target) {
	c.opts.Local.SetTargets(list)
	c.opts.Broker.SetTargets(mark, list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listMark = mark
	clear(c.targets)
	for _, t := range list {
		c.targets[t.ID] = t
		if c.domains[t.Domain] == nil {
			c.domains[t.Domain] = &domain{}
		}
	}
	c.paceReports.Keep(func(id string) bool { return c.targets[id].ID != "" })
}

// Place chooses a target for an online request and counts it there until Done. It waits
// while all targets are full. It fails if no target is known, at the deadline, when ctx
// ends, or if all brokers that answer reject the request. The choice then holds what they knew.
func (c *Client) Place(ctx context.Context, req placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	arrived := &arrival{at: time.Now()}
	waitAt, askAll := "", true
	var queue placement.QueueState
	for {
		round := c.tryAll(ctx, req, limits, arrived, !askAll)
		if round.choice.ID != "" {
			round.choice.Queue = queue
			return round.choice, true
		}
		if round.answered == "" {
			choicesWithoutBroker.Inc()
			choice, ok := c.opts.Local.Place(ctx, req, limits)
			return c.withLists(choice), ok
		}
		if round.accepting == "" && time.Now().Before(limits.RejectBy) {
			if !round.skipped {
				return placement.Choice{Queue: round.rejected}, false
			}
			askAll = true
			continue
		}
		waitAt = cmp.Or(round.accepting, round.answered)
		left := time.Until(limits.Deadline)
		if left <= 0 || ctx.Err() != nil || !c.HasTargets(req) {
			return placement.Choice{Queue: queue}, false
		}
		choice, _ := c.placeIn(ctx, waitAt, req, limits, arrived, min(left, onlineWait))
		if choice.ID != "" {
			return choice, true
		}
		askAll = choice.Queue.Rejected
		if !askAll {
			queue = choice.Queue
		}
	}
}

// placeRound is the result of asking the brokers of all domains once.
type placeRound struct {
	choice placement.Choice
	// answered is the first domain whose broker answered, and accepting the first whose broker
	// also did not reject the request.
	answered, accepting string
	// rejected is the rejection with the earliest time to return.
	rejected placement.QueueState
	// skipped is set if domains were not asked because they were known to be full.
	skipped bool
}

// tryAll asks the brokers of all domains, starting with the own domain. A retry skips domains that
// had no free slot within freeMaxAge.
func (c *Client) tryAll(ctx context.Context, req placement.Requirements, limits placement.WaitLimits, arrived *arrival, retry bool) (round placeRound) {
	for _, name := range c.domainsFor(req) {
		if retry && name != c.opts.Self.Domain && c.knownFull(name) {
			round.skipped = true
			continue
		}
		choice, ok := c.placeIn(ctx, name, req, limits, arrived, 0)
		if choice.ID != "" {
			round.choice = choice
			return round
		}
		if !ok {
			continue
		}
		round.answered = cmp.Or(round.answered, name)
		switch {
		case !choice.Queue.Rejected:
			round.accepting = cmp.Or(round.accepting, name)
		case !round.rejected.Rejected || choice.Queue.RoomIn < round.rejected.RoomIn:
			round.rejected = choice.Queue
		}
	}
	return round
}

// placeIn requests a slot from the broker of one domain. ok is false if no broker answers.
func (c *Client) placeIn(ctx context.Context, name string, req placement.Requirements, limits placement.WaitLimits, arrived *arrival, wait time.Duration) (choice placement.Choice, ok bool) {
	now := time.Now()
	request := &PlaceRequest{
		Domain: name, Want: req, Wait: wait,
		OnTimeIn: limits.SendBy.Sub(now), Age: now.Sub(arrived.at),
	}
	if c.opts.FairQueue {
		request.Organisation, request.Weight = limits.Organisation, limits.Weight
		request.WaitIn, request.FirstWait = limits.Deadline.Sub(now), wait > 0 && !arrived.waited
		if !limits.RejectBy.IsZero() {
			request.RejectIn = max(0, limits.RejectBy.Sub(now))
		}
	}
	choice, ok = c.requestSlot(ctx, request)
	arrived.waited = arrived.waited || ok && wait > 0
	return choice, ok
}

// arrival is the arrival of an online request. waited is set once it has waited at a broker that
// answered.
type arrival struct {
	at     time.Time
	waited bool
}

func (c *Client) knownFull(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[name]
	return d != nil && d.free == 0 && time.Since(d.freeAt) < freeMaxAge
}

// requestSlot sends a request to the broker of its domain, and to the next broker if that one
// does not answer.
func (c *Client) requestSlot(ctx context.Context, request *PlaceRequest) (choice placement.Choice, answered bool) {
	choice, _, answered = c.requestItemSlot(ctx, request)
	return choice, answered
}

// errVersionIgnored: a broker chose a target that this instance does not list, or lists with
// another software version than the required one. A broker of an earlier release does not know
// the version.
var errVersionIgnored = errors.New("broker chose a target of another software version")

// otherVersions returns the targets of a request's domain and service with a software version
// that is not required. A broker of an earlier release knows only such exclusions.
func (c *Client) otherVersions(request *PlaceRequest) (out []string) {
	if len(request.Want.Versions) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.targets {
		if t.Domain == request.Domain && t.Service == request.Want.Service && !request.Want.AllowsVersion(t.Version) {
			out = append(out, id)
		}
	}
	return out
}

func (c *Client) callBroker(ctx context.Context, address string, request *PlaceRequest) (PlaceReply, error) {
	request.Told = c.holdReport(address, request.Domain, false)
	if address == c.opts.Self.Address {
		return c.opts.Broker.Place(ctx, request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+request.Wait)
	defer cancel()
	var reply PlaceReply
	err := c.opts.Caller.Call(ctx, address, methodPlace, request, &reply)
	return reply, err
}

// avoidBroker stops asking a broker that did not answer for brokerAvoidance. If the broker
// granted a slot nevertheless, the next full report frees it.
func (c *Client) avoidBroker(address, name string, err error) {
	failedCalls.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(brokerAvoidance)
	_ = level.Info(c.opts.Logger).Log("event", "broker_unanswered", "broker", address, "domain", name, "err", err)
}

// applyReply records the slot that a broker granted, if it granted one.
func (c *Client) applyReply(address string, request *PlaceRequest, reply PlaceReply) placement.Choice {
	c.mu.Lock()
	if d := c.domains[request.Domain]; d != nil {
		d.free, d.freeAt = reply.Free, time.Now()
	}
	if reply.Granted {
		if request.Needs > 0 {
			c.progress[request.Number] = itemProgress{Needs: request.Needs, Laxity: request.OnTimeIn, Unstored: request.Unstored, at: time.Now()}
		}
		c.holds[request.Number] = Hold{Number: request.Number, Target: reply.Grant.Target.ID, Batch: request.Want.Batch, Due: request.Due, Lasts: request.Lasts, Run: request.Want.Run}
	}
	c.mu.Unlock()
	if !reply.Granted {
		return placement.Choice{Queue: reply.Queue}
	}
	choice := c.opts.Local.Acquire(reply.Grant.Target, request.Want.Batch)
	choice.Version = agreedVersion(choice.Version, reply.Grant.Target.Version)
	choice.Busy, choice.Unaccounted, choice.Slots = reply.Grant.Busy, reply.Grant.Unsure, reply.Grant.Slots
	choice.Number, choice.Broker, choice.Queue = request.Number, address, reply.Queue
	choice.Lists = c.listsFor(choice.ID)
	choice.Lists.Broker = roster.ListState{Mark: reply.Grant.ListMark, Age: reply.Grant.ListAge}
	choice.Lists.BrokerLapsed = reply.Grant.Target.Lapsed
	reply.Grant.applyPace(&choice)
	c.mu.Lock()
	c.paceReports.Stated(choice.ID, choice.Pace.Percent)
	c.mu.Unlock()
	return choice
}

// agreedVersion returns the software version of a target by two lists, "" if they differ: the
// target may have started again under its id. A list that does not name the version is ignored.
func agreedVersion(own, brokers string) string {
	switch {
	case own == "":
		return brokers
	case brokers == "" || own == brokers:
		return own
	default:
		return ""
	}
}

func (c *Client) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// connected returns the targets of a domain and service to which a connection is kept.
func (c *Client) connected(name, service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, t := range c.targets {
		if t.Domain == name && t.Service == service && c.opts.Connected(t.Address) {
			out = append(out, id)
		}
	}
	return out
}

// Done ends the exchange of a choice.
func (c *Client) Done(choice placement.Choice, result placement.Result) {
	isNews := result == placement.Replaced && !c.opts.Local.KnowsReplaced(choice.Target)
	c.opts.Local.Done(choice, result)
	if isNews {
		c.reportReplaced(choice)
	}
	c.reportFailure(choice, result)
	if choice.Number == 0 {
		return
	}
	c.mu.Lock()
	delete(c.holds, choice.Number)
	delete(c.progress, choice.Number)
	c.mu.Unlock()
	c.release(choice.Broker, choice.Number)
}

// HasTargets reports whether the list contains a target that may be chosen, regardless of its
// load and health.
func (c *Client) HasTargets(req placement.Requirements) bool { return c.opts.Local.HasTargets(req) }

// TryPlace chooses another target for an online request that already has one. It does not wait
// for a slot. Of the limits, only the organisation and its weight are used.
func (c *Client) TryPlace(ctx context.Context, req placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	now := time.Now()
	limits.SendBy, limits.Deadline, limits.RejectBy = now, now, time.Time{}
	round := c.tryAll(ctx, req, limits, &arrival{at: now}, false)
	if round.choice.ID == "" && round.answered == "" {
		choice, ok := c.opts.Local.Pick(req)
		return c.withLists(choice), ok
	}
	return round.choice, round.choice.ID != ""
}

// DataReceived records that data arrived from a target.
func (c *Client) DataReceived(id string) { c.opts.Local.DataReceived(id) }

// MarkStalled records that an exchange is waiting longer than it should, see
// placement.Placer.
func (c *Client) MarkStalled(choice placement.Choice) (unmark func()) {
	return c.opts.Local.MarkStalled(choice)
}
