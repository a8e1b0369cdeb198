package policybench

import (
	"maps"
	"slices"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/headroom"
)

// sendNotices sends the online counts of each instance to the feeders and returns
// the feeders' batch counts.
func (s *servingSim) sendNotices() {
	for i, inst := range s.instances {
		from := s.deployment.instanceID(i)
		notices := inst.headroom.DueNotices(s.clock.Now(), s.feeders, from)
		for _, feeder := range slices.Sorted(maps.Keys(notices)) {
			counts := notices[feeder]
			s.clock.After(noticeDelay, func() {
				for j, other := range s.instances {
					if s.deployment.instanceID(j) == feeder {
						s.revoke(j, other.headroom.ApplyNotice(s.clock.Now(), from, counts))
						inst.headroom.RecordPeerBatchItems(s.clock.Now(), other.headroom.PlacedItems(counts))
					}
				}
			})
		}
	}
}

// updateWindows makes every feeder check its targets, revoke items where needed and
// place items on free slots.
func (s *servingSim) updateWindows() {
	for i, inst := range s.instances {
		s.revoke(i, inst.headroom.Observe(s.clock.Now(), s.fedTargets(i)))
		s.placeItems(i)
	}
}

// placeItems places batch items on the targets that an instance feeds, by the batch
// mode of the run.
func (s *servingSim) placeItems(i int) {
	switch s.batch {
	case noBatch:
		return
	case batchNonPreemptible:
		s.placeByRule(i, func(e *engine) bool { return len(e.streams) < slotsPerTarget })
		return
	case batchFixedReserve:
		s.placeByRule(i, func(e *engine) bool { return len(e.streams)-e.onlineStreams() < fixedBatchSlots })
		return
	}
	inst := s.instances[i]
	for {
		id, target, ok := inst.headroom.Place(s.clock.Now(), s.deployment.service)
		if !ok {
			return
		}
		key := s.globalSlotID(i, id)
		inst.router.BatchStarted(s.clock.Now(), target.ID)
		item := &batchItem{engine: s.enginesByID[target.ID], stream: s.nextItem()}
		item.stream.onEnd = func(st *stream) {
			delete(s.placed, key)
			s.result.batchUseful += st.tokens
			inst.headroom.Release(s.clock.Now(), id)
			inst.router.BatchDone(s.clock.Now(), target.ID, coordination.CallResult{FirstByte: st.firstAt.Sub(st.arrived)})
			s.placeItems(i)
		}
		s.placed[key] = item
		item.engine.streams = append(item.engine.streams, item.stream)
	}
}

// globalSlotID returns a slot ID that is unique among all instances.
func (s *servingSim) globalSlotID(i int, id headroom.SlotID) headroom.SlotID {
	return id*headroom.SlotID(s.deployment.instances) + headroom.SlotID(i)
}

// nextItem returns the stream of a revoked item to resume or, if there is none, of a
// new item.
func (s *servingSim) nextItem() *stream {
	if len(s.resumable) == 0 {
		return &stream{arrived: s.clock.Now(), prefill: batchPrefill, tokens: batchTokens}
	}
	st := s.resumable[0]
	s.resumable = s.resumable[1:]
	st.arrived = s.clock.Now()
	st.prefill = batchPrefill + time.Duration(st.generated)*resumePrefill
	return st
}

// revoke cancels batch streams at their targets and keeps their partial output.
func (s *servingSim) revoke(at int, ids []headroom.SlotID) {
	for _, id := range ids {
		key := s.globalSlotID(at, id)
		item := s.placed[key]
		delete(s.placed, key)
		item.engine.remove(item.stream)
		s.instances[at].router.BatchDone(s.clock.Now(), item.engine.id, coordination.CallResult{})
		s.recordWaste(item.stream)
	}
}

// recordWaste counts the work lost when a stream is revoked: the unfinished token
// and the prefill that has to be repeated, converted to tokens that could have been
// generated in the same time.
func (s *servingSim) recordWaste(st *stream) {
	complete := float64(int(st.generated))
	repeated := batchPrefill - max(0, st.prefill)
	s.result.batchWasted += st.generated - complete + repeated.Seconds()/tokenTime.Seconds()
	s.result.revokedItems++
	st.generated = complete
	s.resumable = append(s.resumable, st)
}

// fixedBatchSlots is the number of slots per target that remain for batch items
// while online traffic is at the peak of a burst.
const fixedBatchSlots = slotsPerTarget - int(onlineSlotShare*servingBurstFactor*slotsPerTarget)

// placeByRule places items on each target while hasRoom allows it. The items are
// never revoked.
func (s *servingSim) placeByRule(i int, hasRoom func(*engine) bool) {
	for _, t := range s.fedTargets(i) {
		e := s.enginesByID[t.ID]
		for hasRoom(e) {
			st := s.nextItem()
			st.onEnd = func(st *stream) { s.result.batchUseful += st.tokens }
			e.streams = append(e.streams, st)
		}
	}
}

// placementInterval is the interval at which instances try to place waiting batch
// items.
const placementInterval = 10 * time.Millisecond

func (s *servingSim) placeOnAllInstances() {
	for i := range s.instances {
		s.placeItems(i)
	}
}
