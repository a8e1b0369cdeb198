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
	"merlintiller/internal/transport/httpresponse"
)

// maxResponseHead bounds the head of a response in bytes.
const maxResponseHead = 32 << 10

// Client calls targets over its own connection pool. Online calls, batch items and
// calls that are not idempotent each use a separate Client, so that one kind can't
// exhaust the connections of another.
type Client struct {
	opts      Options
	transport httpresponse.Transport
	counts    *expvar.Map
}

// New returns a client with its own connection pool.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return newClient(opts, dialer.DialContext)
}

func newClient(opts Options, dial httpresponse.DialFunc) *Client {
	opts = opts.withDefaults()
	c := &Client{opts: opts, counts: new(expvar.Map).Init()}
	c.transport = httpresponse.Transport{Transport: &http.Transport{
		DialContext:         countWrites(httpresponse.Dialer(dial)),
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: opts.MaxIdlePerTarget,
		IdleConnTimeout:     opts.IdleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   opts.FreshConnections,
		Proxy:               nil,

		MaxResponseHeaderBytes: maxResponseHead,
	}}
	if opts.Name != "" {
		clientCounts.Set(opts.Name, c.counts)
	}
	return c
}

var clientCounts = expvar.NewMap("target")

// Count returns the value of one of the client's counters: "crossed" (responses to
// another call), "malformed" (responses that are no valid HTTP), "not_run" or
// "may_have_run".
func (c *Client) Count(name string) int64 {
	if n, ok := c.counts.Get(name).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do implements external.Target.
func (c *Client) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	if isControl(call.Path) {
		return nil, c.callError(protocol.NotRun, external.ErrPathNotAllowed)
	}
	var tracker writeTracker
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, tracker.trace()))
	req, err := newRequest(ctx, address, call)
	if err != nil {
		cancel()
		return nil, c.callError(protocol.NotRun, err)
	}
	// RoundTrip does not follow redirects, unlike http.Client. Following one would
	// send the call again.
	resp, err := c.roundTrip(req)
	if err != nil {
		cancel()
		run := protocol.MayHaveRun
		if tracker.nothingWritten() {
			run = protocol.NotRun
		}
		return nil, c.callError(run, err)
	}
	return c.checkResponse(call, resp, cancel)
}

// roundTrip sends a request and counts a response that is no valid HTTP.
func (c *Client) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.transport.RoundTrip(req)
	if httpresponse.IsMalformed(err) {
		c.counts.Add("malformed", 1)
	}
	return resp, err
}

// newRequest builds a request that net/http can't send twice.
//
// http.Transport sends a request again if a reused connection turns out to be closed,
// provided that the method or an Idempotency-Key header makes the request look safe
// and the body can be obtained again. A call that is not idempotent would run twice,
// and only the target's records would show it. A body without GetBody that is not
// http.NoBody prevents this on every such path.
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

// checkResponse rejects a response that belongs to another call, and one that reports
// that the call did not run.
func (c *Client) checkResponse(call external.Call, resp *http.Response, cancel context.CancelFunc) (*external.Answer, error) {
	echoed := protocol.CallID(resp.Header.Get(headerCallID))
	if echoed != call.ID {
		// Cancelling before the body has been read closes the connection, so that
		// no later data on it is taken for a response.
		cancel()
		_ = resp.Body.Close()
		c.counts.Add("crossed", 1)
		return nil, c.callError(protocol.MayHaveRun, fmt.Errorf("%w: response echoes call id %q", external.ErrCallIDMismatch, echoed))
	}
	if err := notRun(resp); err != nil {
		drain(resp.Body)
		cancel()
		return nil, c.callError(protocol.NotRun, err)
	}
	body := &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return &external.Answer{EchoedID: echoed, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// notRun returns an error if the target reports that it did not begin the call.
func notRun(resp *http.Response) error {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) != "true" {
		return nil
	}
	if resp.Header.Get(headerLeaving) == "true" {
		return external.ErrLeaving
	}
	return external.ErrNotStarted
}

// maxDrain is the number of bytes read of an unwanted body so that its connection can
// be reused.
const maxDrain = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

func (c *Client) callError(run protocol.RunState, err error) error {
	c.counts.Add(string(run), 1)
	return &external.CallError{Run: run, Err: err}
}

// cancelBody is a response body that cancels the call's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
