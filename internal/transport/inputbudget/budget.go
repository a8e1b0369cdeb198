// Package inputbudget bounds the memory that the incomplete input of all connections of a process takes together. Limits
// for each connection leave it to the number of connections how much that is.
package inputbudget

import (
	"bytes"
	"container/list"
	"expvar"
	"sync"
)

// headLineBytes is what a line of a request head takes once it is parsed, beyond its length: an entry of a map, a slice of
// values and their strings. Without it, a head of short lines would take several times what it counts.
const headLineBytes = 160

var closedOverBudget = expvar.NewInt("connections.closed_over_input_budget")

// HeadCost returns the memory that a part of a request head takes, in bytes.
func HeadCost(part []byte) int64 {
	return int64(len(part) + headLineBytes*bytes.Count(part, []byte{'\n'}))
}

// Budget is the memory that input may take. If some does not fit, the connections are closed whose input has been
// incomplete for the longest: senders that behave send theirs at once. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	bound, used int64
	// incomplete are the charges for incomplete input, the oldest first.
	incomplete *list.List
}

// New returns a budget of some bytes, nil for 0: input is not bounded then.
func New(bound int64) *Budget {
	if bound == 0 {
		return nil
	}
	return &Budget{bound: bound, incomplete: list.New()}
}

// Charge is what the input of one connection takes. A nil charge counts nothing.
type Charge struct {
	budget *Budget
	// closeConn closes the connection.
	closeConn func()
	taken     int64
	// incomplete is the place among incomplete input, nil once it is complete, or before it begins.
	incomplete *list.Element
}

// NewCharge returns the charge of a connection, which closeConn closes. That of a nil budget is nil.
func (b *Budget) NewCharge(closeConn func()) *Charge {
	if b == nil {
		return nil
	}
	return &Charge{budget: b, closeConn: closeConn}
}

// Add counts input that was received. It returns false if there is no room for it, and the connection has to be closed.
func (c *Charge) Add(cost int64) bool {
	if c == nil {
		return true
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.incomplete == nil {
		c.incomplete = b.incomplete.PushBack(c)
	}
	c.taken += cost
	b.used += cost
	for b.used > b.bound {
		oldest := b.incomplete.Front().Value.(*Charge)
		oldest.free()
		closedOverBudget.Add(1)
		if oldest == c {
			return false
		}
		oldest.closeConn()
	}
	return true
}

// Complete records that the input is complete. It counts until it is released.
func (c *Charge) Complete() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.incomplete != nil {
		c.budget.incomplete.Remove(c.incomplete)
		c.incomplete = nil
	}
}

// Release frees what the input has taken.
func (c *Charge) Release() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.free()
}

// free is Release for a caller that holds the lock of the budget.
func (c *Charge) free() {
	c.budget.used -= c.taken
	c.taken = 0
	if c.incomplete != nil {
		c.budget.incomplete.Remove(c.incomplete)
		c.incomplete = nil
	}
}
