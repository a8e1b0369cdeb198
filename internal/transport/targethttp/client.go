package targethttp

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Client reaches targets over its own pool of connections. Online calls, batch
// items and calls that may not be repeated each get a Client of their own, so
// that one kind can't use up the connections of another.
type Client struct {
	opts      Options
	transport *http.Transport
	counts    *expvar.Map
}

// New returns a client.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return newClient(opts, dialer.DialContext)
}

func newClient(opts Options, dial dialFunc) *Client {
	opts = opts.withDefaults()
	c := &Client{opts: opts, counts: new(expvar.Map).Init()}
	c.transport = &http.Transport{
		DialContext:         counted(dial),
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: opts.MaxIdlePerTarget,
		IdleConnTimeout:     opts.IdleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   opts.FreshConnections,
		Proxy:               nil,
	}
	if opts.Name != "" {
		published.Set(opts.Name, c.counts)
	}
	return c
}

var published = expvar.NewMap("target")

// Count gives a counter of the client by its name: "crossed", "not_run",
// "may_have_run".
func (c *Client) Count(name string) int64 {
	if n, ok := c.counts.Get(name).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do implements external.Target.
func (c *Client) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	if isControl(call.Path) {
		return nil, c.failed(protocol.NotRun, external.ErrPathNotAllowed)
	}
	var sent sending
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, sent.trace()))
	req, err := newRequest(ctx, address, call)
	if err != nil {
		cancel()
		return nil, c.failed(protocol.NotRun, err)
	}
	// RoundTrip and not http.Client: a redirect would send the call again.
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		cancel()
		run := protocol.MayHaveRun
		if sent.nothingSent() {
			run = protocol.NotRun
		}
		return nil, c.failed(run, err)
	}
	return c.check(call, resp, cancel)
}

// newRequest builds a request that net/http can't send twice.
//
// What goes wrong without it: http.Transport sends a request again on its own
// if a kept connection turns out closed, when the method or an Idempotency-Key
// header makes it look safe and the body can be had again. A call that may not
// be repeated would run twice, seen only in the target's own books. A body
// without GetBody that is not http.NoBody rules it out on every such path.
func newRequest(ctx context.Context, address string, call external.Call) (*http.Request, error) {
	url := "http://" + address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(headerCallID, string(call.ID))
	if call.ResumeAt > 0 {
		req.Header.Set(headerResumeAt, strconv.Itoa(call.ResumeAt))
	}
	req.Body = io.NopCloser(bytes.NewReader(call.Body))
	req.ContentLength = int64(len(call.Body))
	req.GetBody = nil
	return req, nil
}

// check decides whether an answer is this call's own.
func (c *Client) check(call external.Call, resp *http.Response, cancel context.CancelFunc) (*external.Answer, error) {
	echoed := protocol.CallID(resp.Header.Get(headerCallID))
	if echoed != call.ID {
		// Cancelled before it is read to the end, so the connection is closed
		// and whatever else comes on it reaches nobody.
		cancel()
		_ = resp.Body.Close()
		c.counts.Add("crossed", 1)
		return nil, c.failed(protocol.MayHaveRun, fmt.Errorf("%w: it echoes %q", external.ErrCallIDMismatch, echoed))
	}
	if err := notBegun(resp); err != nil {
		drain(resp.Body)
		cancel()
		return nil, c.failed(protocol.NotRun, err)
	}
	body := &body{ReadCloser: resp.Body, cancel: cancel}
	return &external.Answer{EchoedID: echoed, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// notBegun is the target's own word that the call did not begin.
func notBegun(resp *http.Response) error {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) != "true" {
		return nil
	}
	if resp.Header.Get(headerLeaving) == "true" {
		return external.ErrLeaving
	}
	return external.ErrNotStarted
}

// maxDrain is how much of an unwanted body is read so that its connection can
// be kept.
const maxDrain = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

func (c *Client) failed(run protocol.RunState, err error) error {
	c.counts.Add(string(run), 1)
	return &external.CallError{Run: run, Err: err}
}

// body ends the call's context when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
