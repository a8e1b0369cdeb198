//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["other-service"] = otherService }

// otherService: the only runner of one service is lost for good; with MOVE set, the operator moves the route to
// a service without runners instead. The batch jobs of another service, whose runners are up and idle, must go
// on.
func otherService(w *world, trouble bool) {
	zones := []string{"pnw-sea", "pnw-pdx", "pnw-spk"}
	w.startStore()
	second := batchRoute(3)
	second["name"], second["path_prefix"], second["service"] = "code-index", "/node212/", "tiller-codes"
	w.configure([]string{key}, batchRoute(3), second)
	lost := &machine{w: w, n: 9, zone: zones[0], service: "tiller-codes"}
	lost.start()
	machines := []*machine{}
	for n := range 5 {
		m := &machine{w: w, n: n, zone: zones[n%3], service: service}
		m.start()
		machines = append(machines, m)
	}
	w.newInstances(zones...)
	for _, i := range w.instances {
		w.start(i, w.storeAddr)
	}
	w.awaitReady()
	sleep(stable)

	jobOf := func(kind, n int) (string, []item) {
		id := fmt.Sprintf("7c41e09b52d6%d%03d", kind, n)
		items := []item{}
		for k := range 4 {
			items = append(items, item{id: fmt.Sprintf("e5b%d%03d4da6f%02d", kind, n, k), path: "/x/3/60"})
		}
		return id, items
	}
	accept := func(prefix, id string, items []item) {
		if a := w.submit(w.instances[0], prefix, id, items...); a.status != http.StatusAccepted {
			w.must(fmt.Errorf("not accepted"))
		}
	}
	switch {
	case trouble && os.Getenv("MOVE") != "":
		moved := batchRoute(3)
		moved["name"], moved["path_prefix"], moved["service"] = "code-index", "/node212/", "tiller-codes-2"
		w.configure([]string{key}, batchRoute(3), moved)
	case trouble:
		lost.crash()
		w.note("runner %s, 1 of 6 and the only one of tiller-codes, crashes and is lost for good", lost.id)
	}
	sleep(stable)
	for n := range 12 {
		id, items := jobOf(1, n)
		accept("/node212/", id, items)
		id, items = jobOf(2, n)
		accept("/pule252/", id, items)
	}
	w.note("the traffic ends; batch jobs have `finish_s`, 18 s, more")
	sleep(finish + time.Second)
	jobs := []string{}
	for n := range 12 {
		for kind := 1; kind <= 2; kind++ {
			id, _ := jobOf(kind, n)
			jobs = append(jobs, id)
		}
	}
	listed := w.countListed(jobs)
	busiest := 0
	for range 50 {
		for _, m := range machines {
			busiest = max(busiest, m.running())
		}
		sleep(100 * time.Millisecond)
	}
	finished := w.countListed(jobs) - listed
	w.note("in the last 5 s no runner of tiller-reports had more than %d of 8 requests, and %d items of all batch jobs were finished", busiest, finished)
	for n := range 12 {
		id, items := jobOf(2, n)
		a, p := w.read(w.instances[n%3], id, 0)
		succeeded := 0
		for _, r := range p.Results {
			if r.State == "succeeded" {
				succeeded++
			}
		}
		w.note("client reads batch job %s at %s: %s, %d of %d results, %d of them succeeded", id, w.instances[n%3].name, a, len(p.Results), p.Total, succeeded)
		if a.status == http.StatusOK && len(p.Results) < len(items) && busiest == 0 && finished == 0 {
			w.breaks("LOST: %d items of batch job %s are listed neither as succeeded nor as dead_letter, and no runner has them", len(items)-len(p.Results), id)
		}
	}
}
