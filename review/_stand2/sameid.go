package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSameID: clients of two tenants, which don't know of each other, submit batch jobs of the same id.
func playSameID(l *lab, trouble bool) {
	l.setUp(nil)
	time.Sleep(settleTime)
	first, second := "5d07b81c9e41a3f8", "5d07b81c9e41a3f9"
	if trouble {
		second = first
	}
	if got := l.submit(key, first, []item{l.item("e5b2907c14da0001"), l.item("e5b2907c14da0002")}, 6); got.status != 202 {
		exitWith(l, couldNot, fmt.Sprintf("the first job was not accepted: %d", got.status))
	}
	time.Sleep(time.Second)
	items := []item{l.item("e5b2907c14da0003"), l.item("e5b2907c14da0004"), l.item("e5b2907c14da0005")}
	got := l.submit(otherKey, second, items, 6)
	if got.status != 202 {
		exitWith(l, held, fmt.Sprintf("the second job was refused: %d", got.status))
	}
	// settle_ms is 1,000.
	time.Sleep(1500 * time.Millisecond)
	missing := 0
	for _, m := range l.machines {
		read := call(http.MethodGet, m.front, "/lots/"+second+"?after=0", map[string]string{"Authorization": "Bearer " + otherKey}, nil, 5*time.Second)
		l.note("client of south: results of job %s at %s: status %d %s", second, m.name, read.status, read.body)
		if read.status == http.StatusNotFound || read.status == http.StatusGone {
			missing++
		}
	}
	time.Sleep(due)
	p, status := l.results(otherKey, second)
	runs := 0
	for _, r := range l.ranAll() {
		for _, i := range items {
			if r.id == i.ID {
				runs++
			}
		}
	}
	l.note("client of south: after %s: status %d, %d of %d results, %d runs", due, status, len(p.Results), len(items), runs)
	if missing > 0 && len(p.Results) < len(items) {
		exitWith(l, broken, fmt.Sprintf("LOST: an accepted job is answered 404 at %d of %d machines, %d of its items ran", missing, len(l.machines), runs))
	}
	exitWith(l, held, fmt.Sprintf("%d of %d results", len(p.Results), len(items)))
}
