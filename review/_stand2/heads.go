package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts an ended process again.
const restartDelay = time.Second

// platform kills a process that exceeds its memory, and starts ended processes again, until stop is closed.
type platform struct {
	lab  *lab
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
}

func (l *lab) supervise() *platform {
	p := &platform{lab: l, stop: make(chan struct{}), ends: map[string]int{}}
	for _, m := range l.machines {
		p.done.Go(func() { p.watch(m) })
	}
	return p
}

func (p *platform) watch(m *machine) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb := m.residentKB()
		m.peakKB.Store(max(m.peakKB.Load(), int64(kb)))
		if kb > memoryMB<<10 {
			p.lab.note("platform: %s has %d MB, over its %d MB, and is killed", m.name, kb>>10, memoryMB)
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
		if m.alive() {
			continue
		}
		p.mu.Lock()
		p.ends[m.name]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		p.lab.note("platform: %s is started again", m.name)
		if err := p.lab.start(m); err != nil {
			p.lab.note("platform: %v", err)
			return
		}
	}
}

// verdict ends the watch and the case. The rule is broken if the processes of two machines have ended three times each
// by themselves, memory over the limit included.
func (p *platform) verdict() {
	close(p.stop)
	p.done.Wait()
	often := 0
	for _, m := range p.lab.machines {
		p.lab.note("platform: %s ended %d times, peak %d MB", m.name, p.ends[m.name], m.peakKB.Load()>>10)
		if p.ends[m.name] >= 3 {
			often++
		}
	}
	if often >= 2 {
		exitWith(p.lab, broken, fmt.Sprintf("Fault: the processes of %d of %d machines exceeded their memory three times or more: %v", often, len(p.lab.machines), p.ends))
	}
	exitWith(p.lab, held, fmt.Sprintf("ends: %v", p.ends))
}

// ordinary is a caller that behaves: it sends idempotent requests, each to up to three machines, until stop is closed.
func (l *lab) ordinary(stop <-chan struct{}) (sent, served *atomic.Int32) {
	sent, served = new(atomic.Int32), new(atomic.Int32)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			sent.Add(1)
			for try := range len(l.machines) {
				header := map[string]string{"Authorization": "Bearer " + otherKey, "Request-Id": fmt.Sprintf("ab%06x%02d", n, try), "Deadline-Ms": "2000"}
				got := call("POST", l.machines[(n+try)%len(l.machines)].front, prefix+"1", header, []byte("hi"), time.Second)
				if got.err == nil && got.status == 200 && got.header.Get("Response-Seal") != "" {
					served.Add(1)
					break
				}
			}
		}
	}()
	return sent, served
}

// playHeads: a client that nobody controls submits batch jobs over six connections, one after the other on each. The
// items have many headers. Each body, and the head of each item, is within the limits of the configuration.
func playHeads(l *lab, trouble bool) {
	const jobs, connections, headers = 90, 6, 1400
	l.setUp(func(r *runner) { r.events, r.gap = 5, 5*time.Millisecond })
	time.Sleep(settleTime)
	p := l.supervise()
	stop := make(chan struct{})
	sent, served := l.ordinary(stop)
	end := time.Now().Add(60 * time.Second)
	var clients sync.WaitGroup
	var accepted atomic.Int32
	for c := range connections {
		clients.Go(func() {
			for n := c; n < jobs && time.Now().Before(end); n += connections {
				var list []item
				for k := range 200 {
					i := l.item(fmt.Sprintf("e5%06x%04d", n, k))
					for h := 0; trouble && h < headers; h++ {
						i.Headers[fmt.Sprintf("h%d", h)] = "1"
					}
					list = append(list, i)
				}
				if l.submitFrom(n, key, fmt.Sprintf("5d07b81c9e%06x", n), list, 4, end).status == 202 {
					accepted.Add(1)
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	close(stop)
	l.note("client: %d of %d jobs accepted; store: %d MB", accepted.Load(), jobs, l.limits.size()>>20)
	l.note("ordinary caller: %d of %d requests served", served.Load(), sent.Load())
	p.verdict()
}
