package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// playUnread: a client asks for the results of its job on many connections, several times on each, and does not read
// the answers.
func playUnread(l *lab, trouble bool) {
	const waves, connections, requests, items = 6, 2400, 8, 20
	l.setUp(func(r *runner) {
		r.events, r.gap = 200, 2*time.Millisecond
		r.text = func(string, int) []byte { return []byte(strings.Repeat("word ", 60)) }
	})
	time.Sleep(settleTime)
	p := l.supervise()
	job := "5d07b81c9e41a3f8"
	var list []item
	for n := range items {
		list = append(list, l.item(fmt.Sprintf("e5b2907c14da%04d", n)))
	}
	if got := l.submit(key, job, list, 6); got.status != 202 {
		exitWith(l, couldNot, fmt.Sprintf("the job was not accepted: %d", got.status))
	}
	size := 0
	for end := time.Now().Add(due); ; time.Sleep(500 * time.Millisecond) {
		got, _ := l.results(key, job)
		if len(got.Results) == items {
			for _, r := range got.Results {
				size += len(r.Text)
			}
			break
		}
		if time.Now().After(end) {
			exitWith(l, couldNot, "the job did not end")
		}
	}
	l.note("client: the job has %d results, %d bytes in all", items, size)
	stop := make(chan struct{})
	sent, served := l.ordinary(stop)
	request := fmt.Sprintf("GET /lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", job, host, key)
	for wave := range waves {
		if !trouble && wave > 0 {
			break
		}
		var open []net.Conn
		for n := range connections {
			m := l.machines[n%len(l.machines)]
			c, err := dialSmall(m.front)
			if err != nil {
				continue
			}
			if !trouble {
				// A client that reads its answer, and closes the connection.
				_, _ = c.Write([]byte(strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)))
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
				continue
			}
			open = append(open, c)
			_, _ = c.Write([]byte(strings.Repeat(request, requests)))
		}
		l.note("client: wave %d, %d connections, answers unread", wave, len(open))
		if trouble && len(open) < connections/2 {
			exitWith(l, couldNot, "too few connections could be opened")
		}
		time.Sleep(8 * time.Second)
		for _, c := range open {
			_ = c.Close()
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	l.note("ordinary caller: %d of %d requests served", served.Load(), sent.Load())
	p.verdict()
}

// dialSmall connects with a small receive buffer, as links of the platform have small windows.
func dialSmall(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	return d.Dial("tcp", address)
}
