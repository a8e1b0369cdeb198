package routed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/rawanswer"
)

// cutAnswer is an answer that a target sends up to some byte.
type cutAnswer struct {
	// head and body return the bytes for the request with an id; a stream begins after an event.
	head func(id string) string
	body func(after int) string
	// content is the whole content of the body, events that of each event of a stream.
	content string
	stream  bool
	// endsWithConnection reports that the head gives no framing, so that a body that is cut between two of its
	// parts can't be told from a whole one.
	endsWithConnection bool
}

const (
	plainContent = "hello, caller"
	cutEvents    = 3
)

func plainHead(lines string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Type: text/plain\r\nResponse-Seal: seal-of-" + id + "\r\n" + lines + "\r\n"
	}
}

// eventsAfter returns the events of a stream after a position, each in a chunk of its own if they are chunked.
func eventsAfter(after int, chunked bool) string {
	var out strings.Builder
	for n := after + 1; n < cutEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: part-%d\n\n", n, n)
		if chunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		out.WriteString(event)
	}
	if chunked {
		out.WriteString("0\r\n\r\n")
	}
	return out.String()
}

// cutAnswers are the answers by the first part of the path below the route.
func cutAnswers() map[string]cutAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(plainContent))
	plain := func(int) string { return plainContent }
	chunks := func(int) string { return "5\r\nhello\r\n8\r\n, caller\r\n0\r\n\r\n" }
	precededBy := func(before string, head func(id string) string) func(id string) string {
		return func(id string) string { return before + head(id) }
	}
	crossed := plainHead(length)("another") + plainContent
	stream := func(chunked bool) func(int) string {
		return func(after int) string { return eventsAfter(after, chunked) }
	}
	allEvents := eventsAfter(-1, false)
	return map[string]cutAnswer{
		"length":   {head: plainHead(length), body: plain, content: plainContent},
		"empty":    {head: plainHead("Content-Length: 0\r\n"), body: func(int) string { return "" }},
		"folded":   {head: plainHead(length + "X-Folded: one\r\n two\r\n"), body: plain, content: plainContent},
		"chunks":   {head: plainHead("Transfer-Encoding: chunked\r\n"), body: chunks, content: plainContent},
		"unframed": {head: plainHead(""), body: plain, content: plainContent, endsWithConnection: true},
		"interim":  {head: precededBy("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", plainHead(length)), body: plain, content: plainContent},
		"crossed":  {head: precededBy(crossed, plainHead(length)), body: plain, content: plainContent},
		"events": {
			head: plainHead("Transfer-Encoding: chunked\r\n"), body: stream(true), content: allEvents, stream: true,
		},
		"unframed-events": {
			head: plainHead(""), body: stream(false), content: allEvents, stream: true, endsWithConnection: true,
		},
	}
}

// cuttingTarget answers requests below "/ROUTE/cut-KIND/BYTES" with the first bytes of an answer and then closes the
// connection. The runs of an item after the first one are whole.
type cuttingTarget struct {
	*engine.Engine
	ran *ranItems
	// pause is the time between the last byte and the close.
	pause time.Duration
}

// ranItems are the items that have run at any target.
type ranItems struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add adds an item and reports whether it has run before.
func (r *ranItems) add(id string) (before bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.ids[id]
	r.ids[id] = true
	return before
}

// ServeHTTP implements http.Handler.
func (c *cuttingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(r.URL.Path, "/")
	if len(path) < 4 || !strings.HasPrefix(path[2], "cut-") {
		c.Engine.ServeHTTP(w, r)
		return
	}
	answer, id := cutAnswers()[strings.TrimPrefix(path[2], "cut-")], r.Header.Get("Request-Id")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = -1
	}
	whole := answer.head(id) + answer.body(after)
	cut, _ := strconv.Atoi(path[3])
	if path[1] == "jobs" && c.ran.add(id) {
		cut = len(whole)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, whole[:min(cut, len(whole))])
	sleep(c.pause)
	_ = conn.Close()
}

// newCuttingFleet returns a fleet all of whose targets cut their answers, with a route "/plain/" beside the others.
func newCuttingFleet(t *testing.T, pause time.Duration) *testFleet {
	fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 3})
	fleet.configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": "plain", "host": host, "path_prefix": "/plain/", "kind": "idempotent", "timeout_ms": 5000,
			"target_latency_ms": 300, "priority": 0, "service": "svc", "max_attempts": 2,
		})
	})
	ran := &ranItems{ids: map[string]bool{}}
	for _, target := range fleet.targets {
		target.server.Handler = &cuttingTarget{Engine: target.Engine, ran: ran, pause: pause}
	}
	sleep(4 * time.Second)
	return fleet
}

// rawAnswer sends a request on a new connection and returns the bytes of the answer.
func (inst *testInstance) rawAnswer(proto, path, id string) rawanswer.Answer {
	t := inst.fleet.t
	conn, err := inst.fleet.net.Host(callerIP).Dial(t.Context(), inst.ip+":80")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	head := []string{
		"POST " + path + " " + proto, "Host: " + host, "Request-Id: " + id, "Deadline-Ms: 5000", "Authorization: Bearer " + keyOne,
		"Content-Length: " + strconv.Itoa(len(id)),
	}
	_, err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+id)
	require.NoError(t, err)
	answer, err := rawanswer.Read(conn, 6*time.Second)
	require.NoError(t, err)
	return answer
}

// Guards against a target that stops within its answer, in the head at any byte or in the body, and closes: callers
// must not get a success with an empty or short body that is framed as whole.
func TestAnswerThatIsCutIsNotWholeForCallers(t *testing.T) {
	for kind, answer := range cutAnswers() {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(kind+"/"+proto, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					testCutsForCallers(t, kind, &answer, proto)
				})
			})
		}
	}
}

func testCutsForCallers(t *testing.T, kind string, answer *cutAnswer, proto string) {
	fleet := newCuttingFleet(t, 0)
	routes := []string{"/plain/"}
	if answer.stream {
		routes = []string{"/again/", "/once/"}
	}
	for _, route := range routes {
		id := func(n int) string { return fmt.Sprintf("%s%s-%03d", route[1:3], kind[:2], n) }
		headLength := len(answer.head(id(0)))
		length := headLength + len(answer.body(-1))
		for cut := range length + 1 {
			got := fleet.instances[cut%2].rawAnswer(proto, fmt.Sprintf("%scut-%s/%d", route, kind, cut), id(cut))
			body, whole := got.WholeSuccess()
			switch {
			case cut == length:
				require.True(t, whole, "%q", got.Raw)
				require.Equal(t, answer.content, body)
			case answer.endsWithConnection && cut >= headLength:
				// Nothing tells the end of such an answer from its connection's; but it never ends within an event.
				require.True(t, strings.HasPrefix(answer.content, body))
				require.True(t, !whole || !answer.stream || strings.HasSuffix(body, "\n\n"), "cut at %d: %q", cut, got.Raw)
			case whole:
				// A stream that is resumed may be whole although each of its targets cut it.
				require.True(t, answer.stream, "cut at %d of %d: %q", cut, length, got.Raw)
				require.Equal(t, answer.content, body, "cut at %d of %d", cut, length)
			}
		}
	}
}

// Guards against an item that counts as done, or a result that is short, since a target stopped within its answer, in
// the head at any byte or in the body, and closed.
func TestAnswerThatIsCutIsNoWholeResult(t *testing.T) {
	for kind, answer := range cutAnswers() {
		if !answer.stream {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fleet := newCuttingFleet(t, 0)
				headLength := len(answer.head(fmt.Sprintf("job-%03d-item-%03d", 0, 0)))
				cuts := headLength + len(answer.body(-1))
				if answer.endsWithConnection {
					cuts = headLength
				}
				for from := 0; from < cuts; from += itemsOfJob {
					job := fmt.Sprintf("job-%03d", from)
					submitted := fleet.instances[0].send(cutItems(job, kind, from, min(cuts, from+itemsOfJob)))
					require.Equal(t, http.StatusAccepted, submitted.status, submitted.body)
					for _, result := range fleet.instances[1].allResults(job, 50*time.Second).Results {
						require.Equal(t, "succeeded", result.State, result.ID)
						require.Equal(t, "part-0\npart-1\npart-2", result.Text, result.ID)
					}
				}
			})
		})
	}
}

// itemsOfJob is the number of items of one job.
const itemsOfJob = 64

// cutItems returns a job with an item for each byte of a range at which the answer to its first run may be cut.
func cutItems(id, kind string, from, to int) callerRequest {
	var list []map[string]any
	for cut := from; cut < to; cut++ {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("%s-item-%03d", id, cut), "path": fmt.Sprintf("/jobs/cut-%s/%d", kind, cut), "tokens": 200,
			"body": []byte("body"), "headers": map[string]string{"Model": "m", "Token-Count": "100,100"},
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list})
	return callerRequest{id: id, path: "/jobs/submit", key: keyOne, body: string(data)}
}

// Guards against an answer that counts as whole since its target was silent before it closed.
func TestAnswerThatIsCutAfterAPauseIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newCuttingFleet(t, 3*time.Second)
		answer := cutAnswers()["length"]
		for cut := 0; cut < len(answer.head("id-00"))+len(plainContent); cut += 11 {
			got := fleet.instances[0].rawAnswer("HTTP/1.1", fmt.Sprintf("/plain/cut-length/%d", cut), fmt.Sprintf("id-%02d", cut))
			_, whole := got.WholeSuccess()
			require.False(t, whole, "cut at %d: %q", cut, got.Raw)
		}
	})
}
