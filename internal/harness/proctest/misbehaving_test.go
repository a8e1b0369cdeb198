package proctest

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"merlintiller/internal/wait"
)

var formTime = flag.Duration("form-time", 400*time.Millisecond, "time for which each form of misbehaviour lasts")

const (
	// misbehavingClients is the number of connections that clients keep open at once at one listener.
	misbehavingClients = 450
	// lowDescriptors is the limit on the descriptors of an instance, descriptorsBound how many it may have open: it needs
	// the others for the store, targets and other instances.
	lowDescriptors   = 512
	descriptorsBound = 400
	// lowMemoryMB is the memory of the machine of an instance, in megabytes.
	lowMemoryMB = 64
	// firstDaemonMemoryMB is the same for an instance of the first daemon, whose settings do not tell it.
	firstDaemonMemoryMB = 96
	// lowLimits holds settings of the first daemon with few connections and small messages of other instances.
	lowLimits = "limits: {connections: 300, peer_connections: 100, held_message_bytes: 16777216}\n"
	// largeHead is the size of a head that is over all limits.
	largeHead = 240 << 10
)

// form is a way in which a client does not behave: what it sends at first, and then again and again, most times at most.
type form struct {
	name, begin, repeat string
	most                int
	// reset makes the client reset its connection afterwards, and connect again.
	reset bool
}

// endless is the number of repetitions of forms that go on until they are stopped.
const endless = 1 << 30

const requestLine = "GET /r/a/1 HTTP/1.1\r\nHost: " + routedHost + "\r\n"

var forms = []form{
	{name: "heads in short lines", begin: requestLine, repeat: strings.Repeat("a:\r\n", 1000), most: largeHead / 4000},
	{name: "heads in long lines", begin: requestLine, repeat: "x-" + strings.Repeat("a", 20) + ": " + strings.Repeat("b", 1000) + "\r\n", most: largeHead / 1024},
	{name: "a line without end", begin: requestLine + "X: ", repeat: strings.Repeat("a", 4096), most: endless},
	{name: "a request line without end", begin: "GET /", repeat: strings.Repeat("a", 4096), most: endless},
	{name: "empty lines without end", repeat: strings.Repeat("\r\n", 2048), most: endless},
	{name: "empty lines after a request", begin: requestLine + "\r\n", repeat: strings.Repeat("\n", 4096), most: endless},
	{name: "nothing"},
	{name: "half a request line", begin: "GET /r"},
	{name: "whole heads over the limit", repeat: requestLine + strings.Repeat("x: y\r\n", largeHead/6) + "\r\n", most: endless},
	{name: "heads of HTTP/1.0 in short lines", begin: "GET / HTTP/1.0\r\n", repeat: strings.Repeat("b:\r\n", 1000), most: largeHead / 4000},
	{name: "bodies held", begin: "POST /r/a/1 HTTP/1.1\r\nHost: " + routedHost + "\r\nAuthorization: Bearer " + routedKey + "\r\nContent-Length: 900000\r\n\r\n", repeat: strings.Repeat("a", 4096), most: 100},
	{name: "chunk extensions without end", begin: "POST /r/a/1 HTTP/1.1\r\nHost: " + routedHost + "\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeat: strings.Repeat("a", 4096), most: endless},
	{name: "trailers without end", begin: "POST /r/a/1 HTTP/1.1\r\nHost: " + routedHost + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat: strings.Repeat("t:\r\n", 1000), most: endless},
	{name: "requests one after the other, answers unread", repeat: strings.Repeat(requestLine+"\r\n", 50), most: endless},
	{name: "resets in a head", begin: requestLine, repeat: strings.Repeat("a:\r\n", 1000), most: 4, reset: true},
	{name: "a message of another instance without end", begin: "\xfc\x03\xc0\x00\x00", repeat: strings.Repeat("a", 4096), most: endless},
}

// send plays the form on one connection until ctx ends or the connection does.
func (c *form) send(ctx context.Context, address string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	_, err = conn.Write([]byte(c.begin))
	for n := 0; n < c.most && err == nil; n++ {
		_, err = conn.Write([]byte(c.repeat))
	}
	switch {
	case c.reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case err == nil:
		// The connection stays open until the instance closes it.
		for err == nil {
			_, err = conn.Read(make([]byte, 1))
		}
	}
}

// play sends the form on many connections, each of which is opened again once it is closed.
func (c *form) play(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, *formTime)
	defer cancel()
	var clients sync.WaitGroup
	for range misbehavingClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.send(ctx, address)
				wait.For(ctx, 20*time.Millisecond)
			}
		})
	}
	clients.Wait()
}

// usage is what a process has taken at most.
type usage struct {
	memoryMB, descriptors int
}

// usageOf returns what a process has taken until now. ended reports that it does not run any more.
func usageOf(pid int) (used usage, ended bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || !found {
		return usage{}, true
	}
	_, _ = fmt.Sscan(after, &used.memoryMB)
	used.memoryMB >>= 10
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	used.descriptors = len(open)
	return used, false
}

// requireBears plays all forms at a listener of a process. The process has to run on, within the bounds, and answer an
// ordinary request afterwards.
func requireBears(ctx context.Context, t *testing.T, pid int, address string, memoryMB int, ordinary func() bool) {
	for _, c := range forms {
		most := usage{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.play(ctx, address)
		}()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(50 * time.Millisecond):
			}
			used, ended := usageOf(pid)
			if ended {
				break
			}
			most = usage{max(most.memoryMB, used.memoryMB), max(most.descriptors, used.descriptors)}
		}
		<-done
		_, ended := usageOf(pid)
		answered := false
		for !ended && !answered && ctx.Err() == nil {
			answered = ordinary()
		}
		t.Logf("%s: %d MB, %d descriptors at most, answers afterwards %v", c.name, most.memoryMB, most.descriptors, answered)
		if ended {
			t.Fatalf("%s: the process has ended", c.name)
		}
		if most.memoryMB > memoryMB || most.descriptors > descriptorsBound || !answered {
			t.Errorf("%s: %d MB and %d descriptors, %d and %d are allowed; answers afterwards %v", c.name, most.memoryMB, most.descriptors, memoryMB, descriptorsBound, answered)
		}
	}
}

// Guards against an instance that runs out of memory or of descriptors, ends, or answers nobody any more, since clients
// at one of its listeners send what no request is.
func TestInstanceBearsClientsThatMisbehave(t *testing.T) {
	for name, listener := range map[string]func(i *routedInstance) string{
		"callers":   func(i *routedInstance) string { return i.callers },
		"readiness": func(i *routedInstance) string { return i.readiness },
		"peers":     func(i *routedInstance) string { return i.peers },
		"metrics":   func(i *routedInstance) string { return i.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			f := startRoutedLimited(t, 3)
			i := f.instances[0]
			requireBears(f.ctx, t, i.process.PID(), listener(i), lowMemoryMB, func() bool {
				return f.send(i.callers, "ordinary") == served
			})
			f.awaitReady(i)
		})
	}
}

// Guards against the same at the first daemon.
func TestFirstDaemonBearsClientsThatMisbehave(t *testing.T) {
	for _, name := range []string{"callers", "operators", "peers"} {
		t.Run(name, func(t *testing.T) {
			f := start(t, options{settings: longTimings + lowLimits})
			i := f.Instances[0]
			address := map[string]string{"callers": i.Callers, "operators": i.Operators, "peers": i.Peers}[name]
			requireBears(f.ctx, t, i.Process.PID(), address, firstDaemonMemoryMB, func() bool {
				answer, err := f.call(i, f.secret, "ready?")
				return err == nil && answer.MatchesPrompt("ready?", callTokens, false)
			})
		})
	}
}
