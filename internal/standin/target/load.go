package target

import (
	"net/http"
	"strconv"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// loadSample is the number of calls in flight from a moment on.
type loadSample struct {
	at      time.Time
	running int
}

// maxSamples limits the load history. Beyond it, the older half is dropped.
const maxSamples = 4096

// recordLoad adds the current load to the history. The caller holds t.mu.
func (t *Target) recordLoad() {
	t.loadHistory = append(t.loadHistory, loadSample{at: time.Now(), running: len(t.running)})
	if len(t.loadHistory) > maxSamples {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxSamples/2:]...)
	}
}

// laggedLoad returns the load as it was LoadLag ago. The caller holds t.mu.
func (t *Target) laggedLoad(now time.Time) int {
	running := 0
	for _, s := range t.loadHistory {
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
		Running: t.laggedLoad(time.Now()),
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

// Leave makes the target reject new calls. Calls in flight continue.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// cacheLog holds the most recent cache events.
type cacheLog struct {
	events []external.CacheEvent
	seq    uint64
}

// maxCacheEvents limits the events that are kept. A reader that needs older ones
// sees a gap in the sequence numbers.
const maxCacheEvents = 256

func (c *cacheLog) add(id protocol.TargetID, prefix uint64) {
	c.seq++
	c.events = append(c.events, external.CacheEvent{Target: id, Prefix: prefix, Seq: c.seq})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// addCacheEvent records that the target has cached a prompt.
func (t *Target) addCacheEvent(prefix uint64) {
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
