package fleetview

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

// Drains returns the failure domains that operators have drained, as far as this
// instance knows.
func (v *View) Drains() roster.Drains {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.drains
}

// AdoptDrains adopts a state of the drains if it is newer than the current one. from is
// its source, for the log.
func (v *View) AdoptDrains(newer roster.Drains, from string) {
	v.changeDrains(from, func(d *roster.Drains) { d.Adopt(newer) })
}

// loadDrains adopts the drains among the newest records of all keys.
func (v *View) loadDrains(page external.KeyedPage) {
	newer := roster.Drains{Known: true, Mark: page.End}
	for _, record := range page.Records {
		if domain, ok := v.opts.Decoders.Drain(record.Key); ok && len(record.Value) > 0 {
			newer.Domains = append(newer.Domains, domain)
		}
	}
	v.AdoptDrains(newer, "store")
}

// applyDrains applies the drains among records that were added since the last read.
func (v *View) applyDrains(page external.KeyedPage) {
	v.changeDrains("store", func(d *roster.Drains) {
		for _, record := range page.Records {
			if domain, ok := v.opts.Decoders.Drain(record.Key); ok {
				d.Apply(record.Offset, domain, len(record.Value) > 0)
			}
		}
		d.AdvanceTo(page.Next)
	})
}

// changeDrains applies a change to the drains. If the drained domains differ after it,
// it logs the difference and publishes the targets that may be used now.
func (v *View) changeDrains(from string, change func(*roster.Drains)) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.drains
	change(&v.drains)
	if slices.Equal(before.Domains, v.drains.Domains) {
		return
	}
	for _, domain := range v.drains.Domains {
		if !before.Has(domain) {
			v.logDrain(domain, true, from)
		}
	}
	for _, domain := range before.Domains {
		if !v.drains.Has(domain) {
			v.drainEndedAt[domain] = now
			v.logDrain(domain, false, from)
		}
	}
	v.publishTargets()
}

// logDrain logs the start or the end of a drain. The caller must hold v.mu.
func (v *View) logDrain(domain string, drained bool, from string) {
	_ = level.Info(v.logger).Log("event", "domain_drained", "domain", domain, "drained", drained,
		"from", from, "mark", v.drains.Mark)
}

// availableTargets returns the targets that may be used now, with the health path and
// the warm-up settings of their services. The caller must hold v.mu.
func (v *View) availableTargets(now time.Time) []roster.Target {
	list := slices.DeleteFunc(v.roster.Usable(now), func(t roster.Target) bool { return v.drains.Has(t.Domain) })
	table := v.Table()
	if table == nil {
		return list
	}
	for i := range list {
		t := &list[i]
		service, known := table.Service(t.Service)
		if !known {
			continue
		}
		t.HealthPath = service.HealthPath
		t.Warming.Lasts, t.Warming.Rate = service.WarmUp, service.WarmUpRate
		// Targets of a drained domain may have restarted or lost their cached state
		// during the drain, so they are assumed to warm up again after its end.
		if at, ended := v.drainEndedAt[t.Domain]; ended && at.Add(service.WarmUp).After(t.Warming.Until) {
			t.Warming.Until, t.Warming.Assumed = at.Add(service.WarmUp), true
		}
	}
	return list
}

// withRemainingWarmUp prepares a list of targets for other instances: it replaces the
// end of each warm-up by the time that remains, because the clocks of instances may
// differ. It modifies list.
func withRemainingWarmUp(now time.Time, list []roster.Target) []roster.Target {
	for i := range list {
		list[i].WarmUp = max(0, list[i].Warming.Until.Sub(now))
		list[i].Warming, list[i].HealthPath = roster.Warming{}, ""
	}
	return list
}

// withWarmUpEnd sets the end of each target's warm-up by this instance's clock, for a
// list that was received at now. It modifies list.
func withWarmUpEnd(now time.Time, list []roster.Target) []roster.Target {
	for i := range list {
		list[i].Warming = roster.Warming{}
		if list[i].WarmUp > 0 {
			list[i].Warming.Until = now.Add(list[i].WarmUp)
		}
	}
	return list
}
