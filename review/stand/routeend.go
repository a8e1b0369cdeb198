//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"merlintiller/internal/standin/engine"
)

func init() { cases["route-end"] = routeEnd }

// startEngine starts one of the project's stand-ins for runners.
func (w *world) startEngine(id, zone string, opts engine.Options) *engine.Engine {
	opts.ID = id
	e := engine.New(opts)
	l := w.listen()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	w.onEnd(func() { _ = server.Close() })
	w.register(id, l.Addr().String(), zone, service, opts.Slots)
	return e
}

// routeEnd: the operator removes the route of batch jobs. What was accepted before must stay readable.
func routeEnd(w *world, trouble bool) {
	zones := []string{"pnw-sea", "pnw-pdx", "pnw-spk"}
	online := streamRoute("code-cite", "/lohu930/", true, 2)
	w.startStore()
	w.configure([]string{key}, online, batchRoute(3))
	for n, zone := range zones {
		w.startEngine(fmt.Sprintf("i-7f3a91c%d", n), zone, engine.Options{Slots: 8, QueueSize: 24, EventInterval: 10 * time.Millisecond})
	}
	w.newInstances(zones...)
	for _, i := range w.instances {
		w.start(i, w.storeAddr)
	}
	w.awaitReady()
	sleep(stable)

	done, open := "7c41e09b52d6a3f8", "91c41e09b52d6a3f"
	for _, job := range []struct {
		id     string
		events int
	}{{done, 30}, {open, 3000}} {
		items := []item{}
		for n := range 4 {
			items = append(items, item{id: fmt.Sprintf("e5b%s%02d", job.id[:8], n), path: fmt.Sprintf("/pule252/3/%d", job.events)})
		}
		if a := w.submit(w.instances[0], "/pule252/", job.id, items...); a.status != http.StatusAccepted {
			w.must(fmt.Errorf("the batch job was not accepted"))
		}
	}
	before, ok := w.await(w.instances[1], done, 12*time.Second)
	if !ok {
		w.must(fmt.Errorf("the batch job did not end"))
	}

	if trouble {
		w.configure([]string{key}, online)
	} else {
		changed := batchRoute(3)
		changed["timeout_ms"] = 14000
		w.configure([]string{key}, online, changed)
	}
	sleep(configApply + stable)

	for _, i := range w.instances {
		a := w.call(i, http.MethodPost, "/lohu930/3", key, map[string]string{"Request-Id": "9c41d07b" + i.name, "Deadline-Ms": "5000"}, []byte("x"), 5*time.Second)
		w.note("client sends a request of the other route of that host to %s: %s", i.name, a)
		for _, job := range []string{done, open} {
			a, p := w.read(i, job, 0)
			w.note("client reads batch job %s at %s: %s, %d of %d results", job, i.name, a, len(p.Results), p.Total)
			switch {
			case a.status == http.StatusNotFound || a.status == http.StatusGone:
				w.breaks("LOST: %s answers %d for batch job %s, which was accepted", i.name, a.status, job)
			case job == done && (a.status != http.StatusOK || fmt.Sprint(p.Results) != fmt.Sprint(before.Results)):
				w.breaks("LOST: results of batch job %s that had been read don't come again at %s", job, i.name)
			}
		}
	}
}
