//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"merlintiller/internal/standin/engine"
)

func init() { cases["three-crashes"] = threeCrashes }

const (
	// heartbeat is `heartbeat_ms` of the settings. The entry of a runner goes after three of them in silence.
	heartbeat = 1200 * time.Millisecond
	// downFor is the largest `for_s` of srv_crash among the troubles of the site file.
	downFor = 4500 * time.Millisecond
	finish  = 18 * time.Second
	// failedLately is the time for which the rule excuses an item that failed at a runner.
	failedLately = 20 * time.Second
)

// machine is a machine that runs one runner, one incarnation after the other.
type machine struct {
	w       *world
	n       int
	zone    string
	service string
	address string

	mu     sync.Mutex
	id     string
	starts int
	engine *engine.Engine
	server *http.Server
}

// start starts the next incarnation, at the address of the one before.
func (m *machine) start() {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	m.w.must(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	m.address, m.id = l.Addr().String(), fmt.Sprintf("i-7f3a%d%d", m.n, m.starts)
	m.engine = engine.New(engine.Options{ID: m.id, Slots: 8, QueueSize: 24, EventInterval: 50 * time.Millisecond})
	m.server = &http.Server{Handler: m.engine}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	go m.beat(m.id, m.server)
}

// beat keeps the entry of an incarnation alive, and has it removed once it was silent for too long.
func (m *machine) beat(id string, server *http.Server) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		m.mu.Lock()
		runs := m.server == server
		m.mu.Unlock()
		if !runs {
			sleep(2 * heartbeat)
			m.w.store.Put("keyed.servers", id, nil)
			return
		}
		m.w.writeEntry(id, m.address, m.zone, m.service, 8, born, seq)
		sleep(heartbeat)
	}
}

// crash ends the runner's process: its listener and its connections are closed at once.
func (m *machine) crash() {
	m.mu.Lock()
	server := m.server
	m.server = nil
	m.mu.Unlock()
	_ = server.Close()
}

// has reports whether the runner runs an item now, and how many events it has sent at least.
func (m *machine) has(item string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server == nil {
		return false
	}
	for _, r := range m.engine.Runs() {
		if r.ID == item && r.EndedAt.IsZero() && time.Since(r.StartedAt) > 700*time.Millisecond {
			return true
		}
	}
	return false
}

func (m *machine) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server == nil {
		return 0
	}
	n, waiting := m.engine.Load()
	return n + waiting
}

// threeCrashes: three times, one of six runners crashes and is back 4.5 s later, before the next one crashes.
// One item of a batch job was running there each time.
func threeCrashes(w *world, trouble bool) {
	zones := []string{"pnw-sea", "pnw-pdx", "pnw-spk"}
	w.startStore()
	w.configure([]string{key}, streamRoute("code-cite", "/lohu930/", true, 2), batchRoute(3))
	machines := []*machine{}
	for n := range 6 {
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

	job := "7c41e09b52d6a3f8"
	items := []item{}
	for n := range 4 {
		items = append(items, item{id: fmt.Sprintf("e5b2907c14da6f%02d", n), path: "/pule252/3/232"})
	}
	if a := w.submit(w.instances[0], "/pule252/", job, items...); a.status != http.StatusAccepted {
		w.must(fmt.Errorf("the batch job was not accepted"))
	}
	victim := items[0].id
	for n := 0; trouble && n < 3; n++ {
		m := w.awaitRun(machines, victim)
		if m == nil {
			w.must(fmt.Errorf("item %s does not run", victim))
		}
		w.note("runner %s crashes, 1 of 6; item %s was running there", m.id, victim)
		m.crash()
		sleep(downFor)
		m.start()
		w.note("the runner of that machine is back as %s", m.id)
	}
	lastCrash := time.Now().Add(-downFor)
	if !trouble {
		sleep(18 * time.Second)
	}
	w.note("the traffic ends; batch jobs have `finish_s`, 18 s, more")
	sleep(max(finish, time.Until(lastCrash.Add(failedLately))) + time.Second)
	listedBefore := w.countListed([]string{job})
	busiest := 0
	for range 50 {
		for _, m := range machines {
			busiest = max(busiest, m.running())
		}
		sleep(100 * time.Millisecond)
	}
	finished := w.countListed([]string{job}) - listedBefore
	w.note("%.1f s after the last crash: in the last 5 s no runner had more than %d of 8 requests, and %d items were finished", time.Since(lastCrash).Seconds(), busiest, finished)
	for _, i := range w.instances {
		a, p := w.read(i, job, 0)
		listed := map[string]string{}
		for _, r := range p.Results {
			listed[r.ID] = r.State
		}
		w.note("client reads batch job %s at %s: %s, %d of %d results", job, i.name, a, len(p.Results), p.Total)
		for _, it := range items {
			if a.status == http.StatusOK && listed[it.id] == "" && busiest == 0 && finished == 0 {
				w.breaks("LOST: item %s of batch job %s is listed neither as succeeded nor as dead_letter at %s, and no runner has it", it.id, job, i.name)
			}
		}
	}
	for _, it := range items {
		for _, m := range machines {
			for _, r := range m.engine.Runs() {
				if r.ID == it.id {
					w.note("run of %s at %s: asked to go on after event %d, complete %v", it.id, m.id, r.ResumedAfter, r.Complete)
				}
			}
		}
	}
}

// awaitRun returns the runner that runs an item, nil if there is none within some seconds.
func (w *world) awaitRun(machines []*machine, item string) *machine {
	for range 300 {
		for _, m := range machines {
			if m.has(item) {
				return m
			}
		}
		sleep(20 * time.Millisecond)
	}
	return nil
}
