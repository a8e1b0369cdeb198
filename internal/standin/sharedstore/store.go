package sharedstore

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"
)

// Store is the content. It is safe for concurrent use.
type Store struct {
	parts int

	mu     sync.Mutex
	topics map[string][]*partition
	groups map[string]*group
	calls  map[string]int
}

// New returns an empty store whose topics have a number of partitions.
func New(parts int) *Store {
	return &Store{parts: parts, topics: map[string][]*partition{}, groups: map[string]*group{}, calls: map[string]int{}}
}

type partition struct {
	records [][]byte
	// first is the oldest offset kept.
	first   int64
	newest  map[string]newest
	changed chan struct{}
}

type newest struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// partition needs the lock.
func (s *Store) partition(topic string, number int) *partition {
	list := s.topics[topic]
	if list == nil {
		list = make([]*partition, s.parts)
		for i := range list {
			list[i] = &partition{newest: map[string]newest{}, changed: make(chan struct{})}
		}
		s.topics[topic] = list
	}
	return list[number]
}

// Put writes one keyed record, as the operator and targets do. An empty value
// drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic, 0).append([][]byte{append(record, value...)})
}

// Trim drops the history of a topic; the newest records stay.
func (s *Store) Trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.topics[topic] {
		p.first = p.end()
		p.records = nil
	}
}

// Newest gives the value of a key.
func (s *Store) Newest(topic string, number int, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.partition(topic, number).newest[key]
	return found.Value, ok
}

// CallCount counts the calls of a kind, such as "log-append".
func (s *Store) CallCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

func (p *partition) append(records [][]byte) {
	for _, record := range records {
		offset := p.end()
		p.records = append(p.records, record)
		if len(record) == 0 || 1+int(record[0]) > len(record) {
			continue
		}
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
			continue
		}
		p.newest[key] = newest{Key: key, Value: value, Offset: offset}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// page is at most so many keys of the newest records.
const page = 500

func (p *partition) sorted(after string) (items []newest, more bool) {
	keys := slices.Sorted(maps.Keys(p.newest))
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == page {
			return items, true
		}
		items = append(items, p.newest[key])
	}
	return items, false
}

// group divides partitions among its members.
type group struct {
	generation int64
	members    map[string]*member
	owner      map[int]string
	// shift turns the order of the members at each dealing anew.
	shift int
}

type member struct {
	until time.Time
	// seen is the generation that the member was told last.
	seen int64
}

// join keeps a member in a group and gives its partitions. A partition that
// moves is given to its new member once the old one has come by or is gone.
func (s *Store) join(name, who string, ttl time.Duration) (generation int64, held []int) {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owner: map[int]string{}}
		s.groups[name] = g
	}
	now := time.Now()
	for other, m := range g.members {
		if now.After(m.until) {
			g.remove(other)
		}
	}
	m := g.members[who]
	if m == nil {
		m = &member{}
		g.members[who] = m
		g.generation++
	}
	m.until = now.Add(ttl)
	m.seen = g.generation
	names := slices.Sorted(maps.Keys(g.members))
	for number := range s.parts {
		wanted := names[(number+g.shift)%len(names)]
		switch owner := g.owner[number]; {
		case owner == who && wanted != who:
			delete(g.owner, number)
		case owner == "" && wanted == who:
			g.owner[number] = who
		}
		if g.owner[number] == who {
			held = append(held, number)
		}
	}
	return g.generation, held
}

func (g *group) remove(who string) {
	if g.members[who] == nil {
		return
	}
	delete(g.members, who)
	g.generation++
	for number, owner := range g.owner {
		if owner == who {
			delete(g.owner, number)
		}
	}
}

// Rebalance takes all partitions of all groups from their members and gives them to
// the next ones.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.generation++
		g.shift++
		g.owner = map[int]string{}
	}
}

// splitRecords reads the body of an append.
func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if 4+n > len(body) {
			return nil, false
		}
		records = append(records, bytes.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return records, true
}

// joinRecords writes the body of a read.
func joinRecords(end, first int64, records [][]byte) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// atLeast keeps a number from below.
func atLeast[T cmp.Ordered](n, least T) T { return max(n, least) }
