package fleetview

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

// Drains gives the failure domains that operators have drained, as far as it is known.
func (v *View) Drains() roster.Drains {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.drains
}

// AdoptDrains takes over what another instance knows of drains, if that is newer.
func (v *View) AdoptDrains(newer roster.Drains, from string) {
	v.changeDrains(from, func(d *roster.Drains) { d.Adopt(newer) })
}

// replaceDrains takes over all that operators have written.
func (v *View) replaceDrains(page external.KeyedPage) {
	newer := roster.Drains{Known: true, Mark: page.End}
	for _, record := range page.Records {
		if domain, ok := v.opts.Decoders.Drain(record.Key); ok && len(record.Value) > 0 {
			newer.Domains = append(newer.Domains, domain)
		}
	}
	v.AdoptDrains(newer, "store")
}

// applyDrains takes over what operators wrote since.
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

// changeDrains changes what is known of drains, and tells which targets may be used then.
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
			v.noteDrain(domain, true, from)
		}
	}
	for _, domain := range before.Domains {
		if !v.drains.Has(domain) {
			v.undrained[domain] = now
			v.noteDrain(domain, false, from)
		}
	}
	v.tellTargets()
}

// noteDrain needs the lock.
func (v *View) noteDrain(domain string, drained bool, from string) {
	_ = level.Info(v.logger).Log("event", "domain_drained", "domain", domain, "drained", drained,
		"from", from, "mark", v.drains.Mark)
}

// offered gives the targets that may be used now, with what operators say of their
// services. It needs the lock.
func (v *View) offered(now time.Time) []roster.Target {
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
		// Targets of a drained domain may have started anew meanwhile, or lost what they keep.
		if at, ended := v.undrained[t.Domain]; ended && at.Add(service.WarmUp).After(t.Warming.Until) {
			t.Warming.Until, t.Warming.Assumed = at.Add(service.WarmUp), true
		}
	}
	return list
}

// told prepares a list of targets for other instances, whose clocks may differ.
func told(now time.Time, list []roster.Target) []roster.Target {
	for i := range list {
		list[i].WarmUp = max(0, list[i].Warming.Until.Sub(now))
		list[i].Warming, list[i].HealthPath = roster.Warming{}, ""
	}
	return list
}

// heard notes until when targets warm up that are told of now.
func heard(now time.Time, list []roster.Target) []roster.Target {
	for i := range list {
		list[i].Warming = roster.Warming{}
		if list[i].WarmUp > 0 {
			list[i].Warming.Until = now.Add(list[i].WarmUp)
		}
	}
	return list
}
