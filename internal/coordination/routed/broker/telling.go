package broker

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/wait"
)

// Brokers gives the addresses of the two instances that come first as brokers of
// a domain, without those that did not answer a moment ago.
func (c *Client) Brokers(name string) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.ranked[name]
	if found == nil || now.Sub(found.at) > rankedFresh {
		found = &ranking{at: now, addresses: c.rank(name)}
		c.ranked[name] = found
	}
	var out []string
	for _, address := range found.addresses {
		if len(out) < mostBrokers && !now.Before(c.bad[address]) {
			out = append(out, address)
		}
	}
	return out
}

// ranking is the instances of a domain in the order in which they are asked.
type ranking struct {
	at        time.Time
	addresses []string
}

// rankedFresh is how long a ranking counts. It changes when instances come and go.
const rankedFresh = 50 * time.Millisecond

// rank orders the instances of a domain: the strongest first, since the first one has to
// answer all others.
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

// First says that this instance is the broker of its failure domain.
func (c *Client) First() bool {
	addresses := c.Brokers(c.opts.Self.Domain)
	return len(addresses) > 0 && addresses[0] == c.opts.Self.Address
}

// Leads says that this instance is the broker of its failure domain for more than half of
// the instances there. There is only one such.
func (c *Client) Leads() bool {
	if !c.First() {
		return false
	}
	own := c.opts.Self.Domain
	heard, others := len(c.opts.Peers.Up(own)), c.opts.Peers.CountNotDown(own)
	return 2*(heard+1) > others+1
}

// mostBrokers is how many are asked for one slot.
const mostBrokers = 2

// ordered gives names, the own one first and the others by a score, the largest
// first, equal ones at random.
func ordered(names map[string]bool, own string, score func(string) int) []string {
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

// toldOf gives what a broker is told: all that is held in its domain, if it was
// not told that for a while, and else who asks.
func (c *Client) toldOf(address, name string, whole bool) Told {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	told := Told{Instance: c.opts.Self.Name, Start: c.opts.Self.Start}
	if !whole && now.Sub(c.told[address]) < tellEvery {
		return told
	}
	c.told[address] = now
	told.Whole = true
	for _, h := range c.held {
		if c.targets[h.Target].Domain == name {
			told.Held = append(told.Held, h)
		}
	}
	return told
}

// outbox is what a broker is still to be told of slots that are free again.
type outbox struct {
	numbers []uint64
	sending bool
}

// release tells a broker that a slot is free again. What is released while a
// message is on its way goes with the next one.
func (c *Client) release(address string, number uint64) {
	if address == c.opts.Self.Address {
		c.opts.Broker.Tell(&Told{Instance: c.opts.Self.Name, Start: c.opts.Self.Start, Released: []uint64{number}})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	box := c.outbox[address]
	if box == nil {
		box = &outbox{}
		c.outbox[address] = box
	}
	box.numbers = append(box.numbers, number)
	if !box.sending {
		box.sending = true
		go c.flush(address, box)
	}
}

// flush sends releases until there are none. A lost message is made up for by the
// next telling of all that is held.
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
		told := &Told{Instance: c.opts.Self.Name, Start: c.opts.Self.Start, Released: numbers}
		if err := c.tell(address, told); err != nil {
			unanswered.Inc()
		}
	}
}

func (c *Client) tell(address string, told *Told) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return c.opts.Caller.Call(ctx, address, methodTell, told, &struct{}{})
}

// String names the duty.
func (c *Client) String() string { return "broker-client" }

// Serve tells the brokers what is held until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	return wait.Every(ctx, tellEvery, c.tellAll)
}

// tellAll tells the first broker of each domain in which anything is held.
func (c *Client) tellAll() {
	c.mu.Lock()
	names := map[string]bool{}
	for _, h := range c.held {
		names[c.targets[h.Target].Domain] = true
	}
	c.mu.Unlock()
	for name := range names {
		if list := c.Brokers(name); len(list) > 0 {
			c.tellWhole(list[0], name)
		}
	}
}

func (c *Client) tellWhole(address, name string) {
	told := c.toldOf(address, name, true)
	if address == c.opts.Self.Address {
		c.opts.Broker.Tell(&told)
		return
	}
	if err := c.tell(address, &told); err != nil {
		unanswered.Inc()
	}
}
