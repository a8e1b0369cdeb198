package main

import (
	"fmt"
	"strings"
	"time"
)

// playPath: clients that nobody controls send a request with an empty query, and a batch job with an item whose path has a
// query. Both are valid by RFC 3986, and only these are judged. Two further ones have a vertical bar, which is valid in the
// URLs of browsers only.
func playPath(l *lab, trouble bool) {
	l.setUp(func(r *runner) { r.events, r.gap = 5, 5*time.Millisecond })
	time.Sleep(settleTime)
	paths := map[string]string{"9c41d07be2a30001": prefix + "2f/a1", "9c41d07be2a30002": prefix + "2f", "e5b2907c14da0001": jobPrefix + "3/91c4", "e5b2907c14da0002": jobPrefix + "3/91c5"}
	if trouble {
		paths["9c41d07be2a30001"] = prefix + "2f/a|1"
		paths["9c41d07be2a30002"] = prefix + "2f?"
		paths["e5b2907c14da0001"] = jobPrefix + "3/91c4?lang=ro"
		paths["e5b2907c14da0002"] = jobPrefix + "3/91|c5"
	}
	var items []item
	for id, path := range paths {
		if strings.HasPrefix(path, jobPrefix) {
			i := l.item(id)
			i.Path = path
			items = append(items, i)
			continue
		}
		got := rawCall(l.machines[0].front, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", path, host, key, id))
		status, _, _ := strings.Cut(got, "\r\n")
		l.note("client: request %s, target %q: %s", id, path, status)
	}
	if got := l.submit(key, "5d07b81c9e41a3f8", items, 6); got.status != 202 {
		l.note("client: the job was not accepted: %d", got.status)
	}
	time.Sleep(5 * time.Second)
	changed, ran := 0, 0
	for _, r := range l.ranAll() {
		if paths[r.id] == "" {
			continue
		}
		ran++
		if r.uri != paths[r.id] {
			if !strings.Contains(paths[r.id], "|") {
				changed++
			}
			l.note("request %s ran with the target %q; its client sent %q", r.id, r.uri, paths[r.id])
		}
	}
	switch {
	case changed > 0:
		exitWith(l, broken, fmt.Sprintf("UNASKED: %d of 2 requests with a valid target ran with another path or query than the client sent", changed))
	case ran == 0 && !trouble:
		exitWith(l, couldNot, "nothing ran")
	}
	exitWith(l, held, fmt.Sprintf("%d requests ran as they were sent", ran))
}
