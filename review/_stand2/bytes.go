package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// playBytes: one runner hands out wrong bytes in one event of one item, once: one answer of 60.
func playBytes(l *lab, trouble bool) {
	const jobs, items = 6, 10
	const spoiledItem = "e5b2907c14da0203"
	var spoiled atomic.Int32
	l.setUp(func(r *runner) {
		sound := r.text
		r.text = func(id string, n int) []byte {
			if trouble && id == spoiledItem && n == 12 && spoiled.CompareAndSwap(0, 1) {
				l.note("runner %s: hands out wrong bytes in event %d of item %s", r.id, n, id)
				return []byte("wr\xffng")
			}
			return sound(id, n)
		}
	})
	time.Sleep(settleTime)
	var ids []string
	var list []item
	for j := range jobs {
		id := fmt.Sprintf("5d07b81c9e41a3%02d", j)
		var ofJob []item
		for n := range items {
			ofJob = append(ofJob, l.item(fmt.Sprintf("e5b2907c14da%02d%02d", j, n)))
		}
		if got := l.submit(key, id, ofJob, 6); got.status != 202 {
			exitWith(l, couldNot, fmt.Sprintf("a job was not accepted: %d", got.status))
		}
		ids, list = append(ids, id), append(list, ofJob...)
	}
	listed := map[string]string{}
	// The jobs are due after 18 s; finish_s is 18 s more.
	for deadline := time.Now().Add(due + finish); time.Now().Before(deadline) && len(listed) < jobs*items; time.Sleep(500 * time.Millisecond) {
		before := len(listed)
		for _, id := range ids {
			p, _ := l.results(key, id)
			for _, r := range p.Results {
				listed[r.ID] = r.State
			}
		}
		if len(listed) != before {
			l.note("client: %d of %d items are listed", len(listed), len(list))
		}
	}
	runs := map[string]int{}
	for _, r := range l.ranAll() {
		runs[r.id]++
	}
	open := 0
	for _, i := range list {
		if listed[i.ID] == "" && i.ID != spoiledItem {
			open++
			l.note("sound item %s is not listed, runs %d", i.ID, runs[i.ID])
		}
	}
	calm := l.runnersIdleFor() >= 5*time.Second
	l.note("item %s: %q, runs %d", spoiledItem, listed[spoiledItem], runs[spoiledItem])
	l.note("store: %d appends, %d KB; runners without a run for 5 s: %v", l.store.CallCount("log-append"), l.limits.size()>>10, calm)
	switch {
	case open > 0 && calm:
		exitWith(l, broken, fmt.Sprintf("LOST: %d sound items are not listed when finish_s is over, and no runner has one", open))
	case open > 0:
		exitWith(l, couldNot, "items are still at runners")
	}
	exitWith(l, held, strings.TrimSpace(fmt.Sprintf("all %d sound items are listed", len(list)-1)))
}
