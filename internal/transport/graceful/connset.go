package graceful

import (
	"container/list"
	"sync"
)

// connSet holds the open connections of a server.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
	// unread is the number of open connections on which no request has begun.
	unread int
	// silent are the connections on which no request has begun, the oldest first.
	silent list.List
	// refused is the number of connections that a shutdown closed after a refusal.
	refused int
}

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	s.unread++
	c.silent = s.silent.PushBack(c)
}

// makeRoom evicts the connection that has waited for its first request for the longest, if as many are open as may be:
// callers send it at once. It returns false if there is none.
func (s *connSet) makeRoom(maxOpen int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < maxOpen {
		return true
	}
	longest := s.silent.Front()
	if longest == nil {
		return false
	}
	c := longest.Value.(*conn)
	s.noLongerUnread(c)
	delete(s.open, c)
	evicted.Add(1)
	_ = c.Conn.Close()
	return true
}

// beginsRequest records that the first request of a connection begins.
func (s *connSet) beginsRequest(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLongerUnread(c)
}

// noLongerUnread is beginsRequest for a caller that holds mu.
func (s *connSet) noLongerUnread(c *conn) {
	if !c.begun {
		c.begun = true
		s.silent.Remove(c.silent)
		s.unread--
	}
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[c]; open {
		s.noLongerUnread(c)
	}
	delete(s.open, c)
	c.head.Release()
	if c.isRefused() && !c.expired {
		s.refused++
	}
}

// list returns the open connections.
func (s *connSet) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

// counts returns the number of open connections, and of those on which no request has begun.
func (s *connSet) counts() (open, unread int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.unread
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// countActive returns the number of connections with a request in flight.
func (s *connSet) countActive() (active int) {
	for _, c := range s.list() {
		if c.isActive() {
			active++
		}
	}
	return active
}

func (s *connSet) refusedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// refuseIdle refuses the next request of every idle connection. The writes run on
// goroutines of their own, since a slow caller must not hold up the others.
func (s *connSet) refuseIdle() {
	for _, c := range s.list() {
		if c.markRefused() {
			go c.writeRefusal()
		}
	}
}
