package policybench

import (
	"maps"
	"slices"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/headroom"
)

// notices carry the online counts to the feeders, and the batch counts back.
func (s *servingSim) notices() {
	for i, n := range s.nodes {
		from := s.user.instance(i)
		notices := n.headroom.DueNotices(s.clock.Now(), s.feeders, from)
		for _, feeder := range slices.Sorted(maps.Keys(notices)) {
			counts := notices[feeder]
			s.clock.After(noticeHop, func() {
				for j, other := range s.nodes {
					if s.user.instance(j) == feeder {
						s.revoke(j, other.headroom.ApplyNotice(s.clock.Now(), from, counts))
						n.headroom.RecordPeerBatchItems(s.clock.Now(), other.headroom.PlacedItems(counts))
					}
				}
			})
		}
	}
}

// windows lets every feeder look at its targets and place what fits.
func (s *servingSim) windows() {
	for i, n := range s.nodes {
		s.revoke(i, n.headroom.Observe(s.clock.Now(), s.fed(i)))
		s.place(i)
	}
}

func (s *servingSim) place(i int) {
	switch s.batch {
	case noBatch:
		return
	case batchStays:
		s.placeAll(i, func(e *engine) bool { return len(e.streams) < slotsPerTarget })
		return
	case batchReserve:
		s.placeAll(i, func(e *engine) bool { return len(e.streams)-e.online() < reserveWindow })
		return
	}
	n := s.nodes[i]
	for {
		id, target, ok := n.headroom.Place(s.clock.Now(), s.user.service)
		if !ok {
			return
		}
		key := s.key(i, id)
		n.router.BatchStarted(s.clock.Now(), target.ID)
		item := &batchItem{engine: s.byID[target.ID], stream: s.nextItem()}
		item.stream.ended = func(st *stream) {
			delete(s.placed, key)
			s.result.batchUseful += st.tokens
			n.headroom.Release(s.clock.Now(), id)
			n.router.BatchDone(s.clock.Now(), target.ID, coordination.CallResult{FirstByte: st.firstAt.Sub(st.arrived)})
			s.place(i)
		}
		s.placed[key] = item
		item.engine.streams = append(item.engine.streams, item.stream)
	}
}

// key makes slot ids of different instances different.
func (s *servingSim) key(i int, id headroom.SlotID) headroom.SlotID {
	return id*headroom.SlotID(s.user.instances) + headroom.SlotID(i)
}

// nextItem resumes a revoked item, or begins a new one.
func (s *servingSim) nextItem() *stream {
	if len(s.partial) == 0 {
		return &stream{arrived: s.clock.Now(), prefill: batchPrefill, tokens: batchTokens}
	}
	st := s.partial[0]
	s.partial = s.partial[1:]
	st.arrived = s.clock.Now()
	st.prefill = batchPrefill + time.Duration(st.made)*resumePrefill
	return st
}

// revoke cancels batch streams at their targets and keeps what they made.
func (s *servingSim) revoke(node int, ids []headroom.SlotID) {
	for _, id := range ids {
		key := s.key(node, id)
		item := s.placed[key]
		delete(s.placed, key)
		item.engine.remove(item.stream)
		s.nodes[node].router.BatchDone(s.clock.Now(), item.engine.id, coordination.CallResult{})
		s.waste(item.stream)
	}
}

// waste counts what a revoked stream throws away: the token in the making and
// the prompt that must be read again, as tokens of the same time.
func (s *servingSim) waste(st *stream) {
	whole := float64(int(st.made))
	again := batchPrefill - max(0, st.prefill)
	s.result.batchWasted += st.made - whole + again.Seconds()/tokenTime.Seconds()
	s.result.revoked++
	st.made = whole
	s.partial = append(s.partial, st)
}

// reserveWindow is what a burst leaves of a target's slots at its height.
const reserveWindow = slotsPerTarget - int(onlineUse*serveBurst*slotsPerTarget)

// placeAll places items where there is room by a fixed rule and takes none back.
func (s *servingSim) placeAll(i int, room func(*engine) bool) {
	for _, t := range s.fed(i) {
		e := s.byID[t.ID]
		for room(e) {
			st := s.nextItem()
			st.ended = func(st *stream) { s.result.batchUseful += st.tokens }
			e.streams = append(e.streams, st)
		}
	}
}

// batchLook is how often waiting batch items look for a place.
const batchLook = 10 * time.Millisecond

func (s *servingSim) placeAny() {
	for i := range s.nodes {
		s.place(i)
	}
}
