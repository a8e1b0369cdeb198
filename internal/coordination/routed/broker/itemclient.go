package broker

import (
	"cmp"
	"context"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/wait"
)

// Item is a batch item that needs a slot.
type Item struct {
	Service string
	// Versions are the software versions at which it may run. Empty: any.
	Versions []string
	// Deadline is when the item must be done, StartBy when it must start to meet it.
	Deadline, StartBy time.Time
	// MaxRuntime is the longest time that a target is busy with the item.
	MaxRuntime time.Duration
	// Needs is how long the item is expected to run, and Unstored how long its output takes to
	// produce again that is not stored yet.
	Needs, Unstored time.Duration
	// Wait is how long it may wait at a broker for a slot. 0: batchWait.
	Wait time.Duration
	// ID and Job name the item and its job in log lines.
	ID, Job string
}

// PlaceItem chooses a target of one failure domain for a batch item, and waits up to item.Wait
// for a slot. If no broker of the domain answers, it chooses by itself among the domain's
// targets.
//
// If it then chose among the targets of all domains, a network partition that isolates a
// failure domain would send each of its items to targets of the other domains, bypassing their
// brokers. Those targets would get twice as many requests as they have slots, and online
// requests would wait in their queues.
func (c *Client) PlaceItem(ctx context.Context, name string, item Item) (placement.Choice, bool) {
	want := placement.Requirements{Service: item.Service, Versions: item.Versions, Batch: true}
	slotWait := cmp.Or(item.Wait, batchWait)
	request := &PlaceRequest{
		Domain: name, Want: want, Wait: slotWait,
		OnTimeIn: time.Until(item.StartBy), Due: item.Deadline.UnixMilli(), Lasts: item.MaxRuntime,
		Needs: item.Needs, Unstored: item.Unstored,
	}
	choice, held, answered := c.requestItemSlot(ctx, request)
	if held.Period > 0 {
		c.logItemWaits(item, name, held)
	}
	if answered {
		return choice, choice.ID != ""
	}
	want.Domain = name
	choice, ok := c.opts.Local.Pick(want)
	if !ok {
		wait.For(ctx, slotWait)
		return choice, false
	}
	choicesWithoutBroker.Inc()
	return c.withLists(choice), true
}

// Domains returns the failure domains that have targets, the own one first.
func (c *Client) Domains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	has := map[string]bool{}
	for _, t := range c.targets {
		has[t.Domain] = true
	}
	return orderDomains(has, c.opts.Self.Domain, func(string) int { return 0 })
}

// domainsFor returns the failure domains with targets that may be chosen: the own one first, then
// the others by the number of free slots in their last reply, highest first.
func (c *Client) domainsFor(req placement.Requirements) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	has := map[string]bool{}
	for _, t := range c.targets {
		if req.Allows(t) {
			has[t.Domain] = true
		}
	}
	return orderDomains(has, c.opts.Self.Domain, func(name string) int { return c.domains[name].free })
}

// requestItemSlot is requestSlot that also returns why a batch item was held.
func (c *Client) requestItemSlot(ctx context.Context, request *PlaceRequest) (choice placement.Choice, held ForecastHold, answered bool) {
	request.Want.Exclude = append(c.opts.Local.Untrusted(request.Want), request.Want.Exclude...)
	request.Want.Exclude = append(request.Want.Exclude, c.otherVersions(request)...)
	request.Want.Connected = c.connected(request.Domain, request.Want.Service)
	request.Number = c.nextNumber()
	for _, address := range c.Brokers(request.Domain) {
		choice, held, err := c.requestSlotAt(ctx, address, request)
		if err != nil {
			c.avoidBroker(address, request.Domain, err)
			continue
		}
		return choice, held, true
	}
	return placement.Choice{}, ForecastHold{}, false
}

// requestSlotAt requests a slot from one broker. If it grants one at a target that has left by this
// instance's list, the slot is given back and the broker is asked again without that target.
func (c *Client) requestSlotAt(ctx context.Context, address string, request *PlaceRequest) (placement.Choice, ForecastHold, error) {
	for range maxRefusedGrants {
		reply, err := c.callBroker(ctx, address, request)
		if err != nil {
			return placement.Choice{}, ForecastHold{}, err
		}
		answeredRequests.Inc()
		choice := c.applyReply(address, request, reply)
		switch {
		case choice.ID == "":
			return choice, reply.Held, nil
		case !request.Want.Allows(choice.Target):
			c.Done(choice, placement.Cancelled)
			return placement.Choice{}, ForecastHold{}, errVersionIgnored
		case !c.HasLeft(choice):
			return choice, reply.Held, nil
		}
		c.refuseGrant(request, choice)
	}
	return placement.Choice{}, ForecastHold{}, errOldList
}

// SetRunID records the ID under which the target of a choice runs a batch item.
func (c *Client) SetRunID(choice placement.Choice, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.holds[choice.Number]; ok {
		h.Run = id
		c.holds[choice.Number] = h
	}
}
