// Package virtual runs scheduled events in virtual time. A simulation takes only the
// processor time of its events and gives the same result on every machine.
package virtual

import (
	"container/heap"
	"time"
)

// Start is the virtual time at which every run begins.
var Start = time.Unix(1_700_000_000, 0)

// event is a function to be called at a virtual time. seq orders events of the same
// time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// Clock runs events in order of time; events of the same time run in the order in
// which they were scheduled. A Clock is not safe for concurrent use.
type Clock struct {
	now    time.Time
	seq    int
	events eventHeap
}

// NewClock returns a clock set to Start.
func NewClock() *Clock { return &Clock{now: Start} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules do to run after the virtual duration d.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: do})
}

// Every schedules do to run periodically, for the first time after d.
func (c *Clock) Every(d time.Duration, do func()) {
	c.After(d, func() {
		do()
		c.Every(d, do)
	})
}

// Run advances the clock by d and runs all events that become due, including those
// scheduled meanwhile.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1].do = nil
	*h = old[:len(old)-1]
	return e
}
