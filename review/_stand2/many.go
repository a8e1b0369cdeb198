package main

import (
	"fmt"
	"sync"
	"time"
)

// playMany has no case: clients submit 600 jobs of 200 small items each, and the record shows how many items run a second.
func playMany(l *lab, _ bool) {
	const jobs, connections = 600, 6
	l.setUp(func(r *runner) { r.events, r.gap = 5, 5*time.Millisecond })
	time.Sleep(settleTime)
	p := l.supervise()
	stop := make(chan struct{})
	sent, served := l.ordinary(stop)
	end := time.Now().Add(40 * time.Second)
	var clients sync.WaitGroup
	for c := range connections {
		clients.Go(func() {
			for n := c; n < jobs && time.Now().Before(end); n += connections {
				var list []item
				for k := range 200 {
					list = append(list, l.item(fmt.Sprintf("e5%06x%04d", n, k)))
				}
				l.submitFrom(n, key, fmt.Sprintf("5d07b81c9e%06x", n), list, 2, end)
			}
		})
	}
	for range 30 {
		time.Sleep(2 * time.Second)
		l.note("runs: %d; ordinary caller: %d of %d requests served", len(l.ranAll()), served.Load(), sent.Load())
	}
	clients.Wait()
	close(stop)
	p.verdict()
}
