package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playFull: a client that nobody controls submits batch jobs, one after the other on each of three connections, until the
// store has the 400 MB that it takes. A client of another tenant submits a small job every other second meanwhile.
func playFull(l *lab, trouble bool) {
	const jobs, connections = 150, 3
	l.setUp(func(r *runner) { r.events, r.gap = 20, 20*time.Millisecond })
	time.Sleep(settleTime)
	body := []byte("report")
	if trouble {
		body = bytes.Repeat([]byte("report "), 27_000)
	}
	stop := make(chan struct{})
	end := time.Now().Add(45 * time.Second)
	var clients sync.WaitGroup
	var accepted atomic.Int32
	for c := range connections {
		clients.Go(func() {
			for n := c; n < jobs && time.Now().Before(end); n += connections {
				var list []item
				for k := range 15 {
					i := l.item(fmt.Sprintf("e5%06x%04d", n, k))
					i.Body = body
					list = append(list, i)
				}
				got := l.submitFrom(n, key, fmt.Sprintf("5d07b81c9e%06x", n), list, 2, end)
				if got.status == 202 {
					accepted.Add(1)
				}
			}
		})
	}
	ordinary := map[string][]item{}
	clients.Add(1)
	var last time.Time
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			id := fmt.Sprintf("6a10%012x", n)
			var list []item
			for k := range 5 {
				list = append(list, l.item(fmt.Sprintf("e6%06x%04d", n, k)))
			}
			if l.submitFrom(n, otherKey, id, list, 2, end).status == 202 {
				ordinary[id], last = list, time.Now()
			}
		}
	}()
	for time.Now().Before(end) && l.limits.fullSince().IsZero() {
		time.Sleep(100 * time.Millisecond)
		if int(accepted.Load()) == jobs {
			break
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	l.note("client: %d of %d jobs accepted, %d of the other tenant; store: %d MB, full: %v", accepted.Load(), jobs, len(ordinary), l.limits.size()>>20, !l.limits.fullSince().IsZero())
	listed := map[string]bool{}
	wanted := 5 * len(ordinary)
	for until := last.Add(due + finish); time.Now().Before(until) && len(listed) < wanted; time.Sleep(time.Second) {
		for id := range ordinary {
			p, _ := l.results(otherKey, id)
			for _, r := range p.Results {
				listed[r.ID] = true
			}
		}
	}
	runs := map[string]int{}
	for _, r := range l.ranAll() {
		runs[r.id]++
	}
	open := 0
	for id, list := range ordinary {
		for _, i := range list {
			if !listed[i.ID] {
				open++
				l.note("item %s of job %s of the other tenant is not listed, runs %d", i.ID, id, runs[i.ID])
			}
		}
	}
	calm := l.runnersIdleFor() >= 5*time.Second
	for _, m := range l.machines {
		l.note("%s: alive %v, %d MB", m.name, m.alive(), m.residentKB()>>10)
	}
	l.note("runners without a run for 5 s: %v", calm)
	switch {
	case open > 0 && calm:
		exitWith(l, broken, fmt.Sprintf("LOST: %d of %d items of accepted jobs are not listed when finish_s is over, and no runner has one", open, wanted))
	case open > 0:
		exitWith(l, couldNot, fmt.Sprintf("%d items are not listed, but runners still work", open))
	}
	exitWith(l, held, fmt.Sprintf("all %d items of the other tenant's %d jobs are listed", wanted, len(ordinary)))
}
