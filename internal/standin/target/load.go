package target

import (
	"net/http"
	"strconv"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// loadSample is the number of calls in flight from a time on.
type loadSample struct {
	at      time.Time
	running int
}

// maxSamples bounds the history of the load.
const maxSamples = 4096

// sample notes the load. The caller holds the lock.
func (t *Target) sample() {
	t.loads = append(t.loads, loadSample{at: time.Now(), running: len(t.running)})
	if len(t.loads) > maxSamples {
		t.loads = append(t.loads[:0], t.loads[maxSamples/2:]...)
	}
}

// lagged is the load as it was LoadLag ago. The caller holds the lock.
func (t *Target) lagged(now time.Time) int {
	running := 0
	for _, s := range t.loads {
		if now.Sub(s.at) < t.cfg.LoadLag {
			break
		}
		running = s.running
	}
	return running
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	report := external.Load{
		Target:  t.cfg.ID,
		Running: t.lagged(time.Now()),
		Leaving: t.leaving,
		AgeMS:   t.cfg.LoadLag.Milliseconds(),
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

func (t *Target) leave(w http.ResponseWriter, _ *http.Request) {
	t.Leave()
	w.WriteHeader(http.StatusNoContent)
}

// Leave makes the target refuse new calls. Those in flight go on.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// cacheLog keeps the last cache events.
type cacheLog struct {
	events []external.CacheEvent
	seq    uint64
}

// maxCacheEvents bounds the kept events; older ones are a gap to readers.
const maxCacheEvents = 256

func (c *cacheLog) add(id protocol.TargetID, prefix uint64) {
	c.seq++
	c.events = append(c.events, external.CacheEvent{Target: id, Prefix: prefix, Seq: c.seq})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// cached notes that the target holds the cache of a prompt.
func (t *Target) cached(prefix uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache.add(t.cfg.ID, prefix)
}

func (t *Target) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	t.mu.Lock()
	events := []external.CacheEvent{}
	for _, e := range t.cache.events {
		if e.Seq > after {
			events = append(events, e)
		}
	}
	t.mu.Unlock()
	writeJSON(w, events)
}
