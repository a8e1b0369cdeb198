package broker

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/wait"
)

// Brokers returns the addresses of the first maxBrokersTried instances in a domain's ranking,
// without those that did not answer within brokerAvoidance.
func (c *Client) Brokers(name string) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.rankings[name]
	if current == nil || now.Sub(current.at) > rankingMaxAge {
		current = &ranking{at: now, addresses: c.rank(name)}
		c.rankings[name] = current
	}
	var out []string
	for _, address := range current.addresses {
		if len(out) < maxBrokersTried && !now.Before(c.avoidUntil[address]) {
			out = append(out, address)
		}
	}
	return out
}

// ranking is the order in which the instances of a domain are asked, as of a time.
type ranking struct {
	at        time.Time
	addresses []string
}

// rankingMaxAge is how long a ranking is used. A ranking changes when instances join or leave.
const rankingMaxAge = 50 * time.Millisecond

// rank orders the instances of a domain. Instances with more capacity come first, since the
// first one has to answer all others.
func (c *Client) rank(name string) []string {
	type candidate struct {
		address string
		rank    uint64
	}
	var list []candidate
	add := func(i mesh.Instance) {
		list = append(list, candidate{i.Address, mesh.Rank("broker/"+name, i)})
	}
	if name == c.opts.Self.Domain {
		add(c.opts.Self)
	}
	for _, i := range c.opts.Peers.Up(name) {
		add(i)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]string, len(list))
	for i, found := range list {
		out[i] = found.address
	}
	return out
}

// IsBroker reports whether this instance is the broker of its failure domain, by its own
// ranking.
func (c *Client) IsBroker() bool {
	addresses := c.Brokers(c.opts.Self.Domain)
	return len(addresses) > 0 && addresses[0] == c.opts.Self.Address
}

// IsSoleBroker reports whether this instance is the broker of its failure domain and reaches
// more than half of the domain's instances, itself included. At most one instance does.
func (c *Client) IsSoleBroker() bool {
	if !c.IsBroker() {
		return false
	}
	own := c.opts.Self.Domain
	reachable, others := len(c.opts.Peers.Up(own)), c.opts.Peers.CountNotDown(own)
	return 2*(reachable+1) > others+1
}

// maxBrokersTried is the largest number of brokers that are asked for one slot.
const maxBrokersTried = 2

// orderDomains sorts domains: the own one first, the others by descending score and in random
// order if their scores are equal.
func orderDomains(names map[string]bool, own string, score func(string) int) []string {
	list := slices.Sorted(maps.Keys(names))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int {
		switch {
		case a == own:
			return -1
		case b == own:
			return 1
		default:
			return cmp.Compare(score(b), score(a))
		}
	})
	return list
}

// holdReport returns the next report for a broker. It lists all holds in the broker's domain if
// full is set or the last full report is older than reportInterval. Otherwise it only
// identifies this instance.
func (c *Client) holdReport(address, name string, full bool) HoldReport {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	report := HoldReport{Instance: c.opts.Self.Name, Start: c.opts.Self.Start}
	if !full && now.Sub(c.reportedAt[address]) < reportInterval {
		return report
	}
	c.reportedAt[address] = now
	report.Whole = true
	for _, h := range c.holds {
		if c.targets[h.Target].Domain == name {
			report.Held = append(report.Held, c.progress[h.Number].addTo(now, h))
		}
	}
	for _, t := range c.opts.Local.Replaced(name) {
		report.Replaced = append(report.Replaced, placement.IncarnationOf(t))
	}
	report.Paces = c.opts.Local.PaceObservations(name)
	return report
}

// outbox queues the numbers of released holds that have not been reported to a broker yet.
type outbox struct {
	numbers []uint64
	sending bool
}

// release reports to a broker that a slot is free again. Releases that are queued while a
// message is in flight are sent with the next one.
func (c *Client) release(address string, number uint64) {
	if address == c.opts.Self.Address {
		c.opts.Broker.ApplyReport(&HoldReport{Instance: c.opts.Self.Name, Start: c.opts.Self.Start, Released: []uint64{number}})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	box := c.outboxes[address]
	if box == nil {
		box = &outbox{}
		c.outboxes[address] = box
	}
	box.numbers = append(box.numbers, number)
	if !box.sending {
		box.sending = true
		go c.flush(address, box)
	}
}

// flush sends queued releases until none are left. The next full report makes up for a lost
// message.
func (c *Client) flush(address string, box *outbox) {
	for {
		c.mu.Lock()
		numbers := box.numbers
		box.numbers = nil
		box.sending = len(numbers) > 0
		c.mu.Unlock()
		if len(numbers) == 0 {
			return
		}
		report := &HoldReport{Instance: c.opts.Self.Name, Start: c.opts.Self.Start, Released: numbers}
		if err := c.sendReport(address, report); err != nil {
			failedCalls.Inc()
		}
	}
}

func (c *Client) sendReport(address string, report *HoldReport) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return c.opts.Caller.Call(ctx, address, methodTell, report, &struct{}{})
}

// String returns the name of the background service.
func (c *Client) String() string { return "broker-client" }

// Serve sends reports of the holds to the brokers until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	return wait.Every(ctx, reportInterval, c.reportHolds)
}

// reportHolds sends a full report to the first broker of each domain with holds.
func (c *Client) reportHolds() {
	c.mu.Lock()
	names := map[string]bool{}
	for _, h := range c.holds {
		names[c.targets[h.Target].Domain] = true
	}
	c.mu.Unlock()
	for name := range names {
		if list := c.Brokers(name); len(list) > 0 {
			c.sendFullReport(list[0], name)
		}
	}
}

func (c *Client) sendFullReport(address, name string) {
	report := c.holdReport(address, name, true)
	if address == c.opts.Self.Address {
		c.opts.Broker.ApplyReport(&report)
		return
	}
	if err := c.sendReport(address, &report); err != nil {
		failedCalls.Inc()
	}
}
