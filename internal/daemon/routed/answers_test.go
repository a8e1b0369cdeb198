package routed

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// faulty is a world whose targets misbehave by the beginning of a request's id. Only
// the first run of an id is spoilt.
func faulty(t *testing.T, faults map[string]engine.Fault) *world {
	t.Helper()
	spoilt := map[string]bool{}
	return newWorld(t, size{domains: 1, nodes: 2, targets: 3, target: engine.Options{
		Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
		FaultFor: func(id string) engine.Fault {
			name, _, _ := strings.Cut(id, "-")
			if spoilt[id] {
				return engine.Fault{}
			}
			spoilt[id] = true
			return faults[name]
		},
	}})
}

// A target runs a request and its answer is lost, ends in the middle, never ends or
// is a failure. Another run could charge a caller twice, so a request that may run
// once gets an error or a stream that is visibly cut, and nothing that says "not
// run".
func TestSpoiltAnswersOfRequestsThatRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faulty(t, map[string]engine.Fault{
			"lost": {LoseAnswer: true}, "broken": {BreakAfter: 4}, "hanging": {HangAfter: 4},
			"failed": {Status: http.StatusInternalServerError},
		})
		for _, c := range []struct {
			id     string
			status int
			cut    bool
		}{
			{"lost-1", http.StatusBadGateway, false},
			{"broken-1", http.StatusOK, true},
			{"hanging-1", http.StatusOK, true},
			{"failed-1", http.StatusInternalServerError, false},
		} {
			got := w.nodes[0].send(ask{id: c.id, path: "/once/" + c.id + "/10", key: keyOne})
			require.Equal(t, c.status, got.status, c.id)
			require.Equal(t, c.cut, got.err != nil, "%s: %v", c.id, got.err)
			if c.cut {
				require.True(t, strings.HasPrefix(stream(c.id, 10), got.body), c.id)
				require.NotEqual(t, stream(c.id, 10), got.body, c.id)
			}
			require.Len(t, w.runs(c.id), 1, c.id)
		}
	})
}

// The same happens to requests that may go on elsewhere. Their callers get one whole
// stream, each event once and in order.
func TestSpoiltAnswersOfRequestsThatMayGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faulty(t, map[string]engine.Fault{
			"lost": {LoseAnswer: true}, "broken": {BreakAfter: 4}, "hanging": {HangAfter: 4},
		})
		for _, id := range []string{"lost-1", "broken-1", "hanging-1"} {
			got := w.nodes[1].send(ask{id: id, path: "/again/" + id + "/30", key: keyOne})
			require.NoError(t, got.err, id)
			require.Equal(t, http.StatusOK, got.status, id)
			require.Equal(t, stream(id, 30), got.body, id)
			require.Len(t, w.runs(id), 2, id)
			require.Less(t, got.took, 2500*time.Millisecond, id)
		}
	})
}

// A target sends the late answer to another request first, or an answer that ends
// with its connection. The caller must get its own answer, whole, and the bytes of
// the other one must reach nobody.
func TestCrossedAndUnframedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := faulty(t, map[string]engine.Fault{"crossed": {Crossed: true}, "unframed": {Unframed: true}})
		for _, id := range []string{"crossed-1", "unframed-1"} {
			got := w.nodes[0].send(ask{id: id, path: "/once/" + id + "/10", key: keyOne})
			require.NoError(t, got.err, id)
			require.Equal(t, stream(id, 10), got.body, id)
			require.Equal(t, "seal-"+id, got.header.Get("Response-Seal"), id)
			require.Len(t, w.runs(id), 1, id)
		}
	})
}
