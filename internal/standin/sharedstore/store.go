package sharedstore

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"
)

// Store holds the topics and consumer groups. It is safe for concurrent use.
type Store struct {
	parts int

	mu     sync.Mutex
	topics map[string][]*partition
	groups map[string]*group
	calls  map[string]int
	reads  readChannel
}

// New returns an empty store in which each topic has the given number of partitions.
func New(parts int) *Store {
	return &Store{parts: parts, topics: map[string][]*partition{}, groups: map[string]*group{}, calls: map[string]int{}}
}

type partition struct {
	records [][]byte
	// first is the offset of the oldest record that is kept.
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

// partition returns a partition and creates its topic if needed. The caller holds s.mu.
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

// Put appends one keyed record to partition 0, as the operator and the targets
// do. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic, 0).append([][]byte{append(record, value...)})
}

// Trim deletes the history of a topic. The newest record of each key is kept.
func (s *Store) Trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.topics[topic] {
		p.first = p.end()
		p.records = nil
	}
}

// Newest returns the newest value of a key.
func (s *Store) Newest(topic string, number int, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.partition(topic, number).newest[key]
	return found.Value, ok
}

// CallCount returns the number of calls of a kind, such as "log-append".
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

// newestPageSize is the maximum number of keys in one reply to log-newest, and
// newestPageBytes the maximum size of their encoded values. A reply has at least one key.
const (
	newestPageSize  = 500
	newestPageBytes = 1 << 20
)

// newestAfter returns the newest records whose key sorts after the given one, in
// key order, as many as fit into one reply. more reports whether further keys follow.
func (p *partition) newestAfter(after string) (items []newest, more bool) {
	keys := slices.Sorted(maps.Keys(p.newest))
	size := 0
	for _, key := range keys {
		if key <= after {
			continue
		}
		size += base64.StdEncoding.EncodedLen(len(p.newest[key].Value))
		if len(items) == newestPageSize || len(items) > 0 && size > newestPageBytes {
			return items, true
		}
		items = append(items, p.newest[key])
	}
	return items, false
}

// group divides the partitions among its members.
type group struct {
	generation int64
	members    map[string]*member
	owner      map[int]string
	// rotation shifts the assignment of partitions to members. Rebalance increments it.
	rotation int
}

type member struct {
	expiresAt time.Time
	// seen is the generation that the member was last given.
	seen int64
}

// join adds a member to a group or renews its membership, and returns the
// partitions that it owns. A partition that moves to another member is assigned
// only after its previous owner has called join again or has been removed.
func (s *Store) join(name, memberName string, ttl time.Duration) (generation int64, owned []int) {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owner: map[int]string{}}
		s.groups[name] = g
	}
	now := time.Now()
	for other, m := range g.members {
		if now.After(m.expiresAt) {
			g.remove(other)
		}
	}
	m := g.members[memberName]
	if m == nil {
		m = &member{}
		g.members[memberName] = m
		g.generation++
	}
	m.expiresAt = now.Add(ttl)
	m.seen = g.generation
	names := slices.Sorted(maps.Keys(g.members))
	for number := range s.parts {
		assigned := names[(number+g.rotation)%len(names)]
		switch owner := g.owner[number]; {
		case owner == memberName && assigned != memberName:
			delete(g.owner, number)
		case owner == "" && assigned == memberName:
			g.owner[number] = memberName
		}
		if g.owner[number] == memberName {
			owned = append(owned, number)
		}
	}
	return g.generation, owned
}

func (g *group) remove(memberName string) {
	if g.members[memberName] == nil {
		return
	}
	delete(g.members, memberName)
	g.generation++
	for number, owner := range g.owner {
		if owner == memberName {
			delete(g.owner, number)
		}
	}
}

// Rebalance takes all partitions of all groups from their owners and assigns them
// to the next members.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.generation++
		g.rotation++
		g.owner = map[int]string{}
	}
}

// splitRecords decodes the body of an append.
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

// joinRecords encodes the reply to a read.
func joinRecords(end, first int64, records [][]byte) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// atLeast returns the larger of n and least.
func atLeast[T cmp.Ordered](n, least T) T { return max(n, least) }
