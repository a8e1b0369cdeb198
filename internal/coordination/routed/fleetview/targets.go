package fleetview

import (
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

// countTargets returns the number of listed targets that are leaving or not leaving.
func (v *View) countTargets(leaving bool) (count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.roster.All() {
		if t.Leaving == leaving {
			count++
		}
	}
	return count
}

// targetsFromPeers reports whether reading the list of targets can be suspended: it is
// known, and other instances send its changes. Instances of releases that do not know the
// versions of targets leave them out; the list is then read for its versions.
func (v *View) targetsFromPeers() bool {
	if v.opts.TargetsFromPeers == nil || !v.opts.TargetsFromPeers() {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targetsKnown && !v.roster.HasUnknownVersion()
}

// TargetsNewerThan returns the list of targets and its mark if that is larger than the
// given one.
func (v *View) TargetsNewerThan(mark int64) ([]roster.Target, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.targetsKnown || v.roster.Mark() <= mark {
		return nil, 0, false
	}
	return withRemainingWarmUp(time.Now(), v.roster.All()), v.roster.Mark(), true
}

// Targets returns the listed targets, and the mark of the list.
func (v *View) Targets() ([]roster.Target, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.All(), v.roster.Mark()
}

// AdoptTargets replaces the list of targets by a full list as of a mark, unless the
// current one is newer. from is its source, for the log.
func (v *View) AdoptTargets(list []roster.Target, mark int64, from string) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.roster.All()
	if v.roster.Replace(mark, withWarmUpEnd(now, list), v.graceUntil(now)) {
		v.targetsKnown = true
		v.logDepartures(before, from)
		v.publishTargets()
	}
}

// logDepartures logs which targets of an earlier list are leaving now, or are not listed any more.
// The caller must hold v.mu.
func (v *View) logDepartures(before []roster.Target, from string) {
	now := map[string]roster.Target{}
	for _, t := range v.roster.All() {
		now[t.ID] = t
	}
	for _, t := range before {
		current, listed := now[t.ID]
		switch {
		case !listed:
			_ = level.Info(v.logger).Log("event", "target_unlisted", "target", t.ID, "from", from, "list_mark", v.roster.Mark())
		case current.Leaving && !t.Leaving:
			_ = level.Info(v.logger).Log("event", "target_leaving", "target", t.ID, "from", from, "list_mark", v.roster.Mark())
		}
	}
}

// publishTargets passes the targets that may be used now to OnTargets. It does so again
// when the next grace period ends, because the next read of the list may come a second
// later. The caller must hold v.mu.
func (v *View) publishTargets() {
	now := time.Now()
	v.rosterDigest = digestOf(v.roster.All())
	if v.opts.OnListed != nil {
		v.opts.OnListed(v.roster.All())
	}
	v.opts.OnTargets(v.roster.Mark(), v.availableTargets(now))
	if v.graceTimer != nil {
		v.graceTimer.Stop()
		v.graceTimer = nil
	}
	if end := v.roster.NextExpiry(); !end.IsZero() {
		v.graceTimer = time.AfterFunc(end.Sub(now), v.onGraceEnd)
	}
}

// onGraceEnd publishes the targets after a grace period ended.
func (v *View) onGraceEnd() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publishTargets()
}

// loadTargets adopts the full list that was read from the store.
func (v *View) loadTargets(page external.KeyedPage) {
	list := make([]roster.Target, 0, len(page.Records))
	for _, record := range page.Records {
		if t, ok := v.decodeTarget(record); ok {
			list = append(list, t)
		}
	}
	v.markTargetsRead()
	v.AdoptTargets(list, page.End, "store")
}

// markTargetsRead records that the list of targets was read from the store.
func (v *View) markTargetsRead() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targetsReadAt = time.Now()
}

// applyTargets applies changes of the list that were read from the store.
func (v *View) applyTargets(page external.KeyedPage) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targetsReadAt = now
	before := v.roster.All()
	for _, record := range page.Records {
		if len(record.Value) == 0 {
			v.roster.Remove(record.Offset, record.Key, v.graceUntil(now))
			continue
		}
		if t, ok := v.decodeTarget(record); ok {
			v.roster.Put(record.Offset, withWarmUpEnd(now, []roster.Target{t})[0])
		} else {
			v.roster.Invalidate(record.Offset, record.Key)
		}
	}
	v.logDepartures(before, "store")
	v.publishTargets()
}

// decodeTarget decodes a target's entry. It logs an entry that cannot be decoded and
// returns false for it.
func (v *View) decodeTarget(record external.KeyedRecord) (roster.Target, bool) {
	t, err := v.opts.Decoders.Target(record.Key, record.Value)
	if err != nil {
		_ = level.Warn(v.logger).Log("event", "target_entry_unreadable", "target", record.Key, "offset", record.Offset, "err", err)
		return roster.Target{}, false
	}
	return t, true
}
