package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/transport/httpresponse"
)

const (
	// inlineBodyLimit is the size in bytes of the largest body that is written before
	// the response is read. Such a body fits into the socket's buffer, so the write
	// can't block on a target that responds without reading.
	inlineBodyLimit = 16 << 10
	// maxMismatched is the number of responses to other requests that are skipped on
	// one connection before the connection is closed.
	maxMismatched = 4
	// maxMismatchedBytes bounds the bytes read of a response that is skipped.
	maxMismatchedBytes = 1 << 20
	// maxBody bounds the body of a response that is forwarded, in bytes. It is never held whole, but
	// occupies a slot and the links to the target and the caller until the deadline.
	maxBody = 64 << 20
	// newConnectionTimeout bounds the wait for the first response on a new connection. A target that takes longer is no
	// faster with a request.
	newConnectionTimeout = 150 * time.Millisecond
)

// What a target sent too much of.
const (
	inHead    = "head"
	inSkipped = "skipped"
	inControl = "control"
	inBody    = "body"
)

var (
	connectionsOpened = metrics.NewCounter(`target_connections_total{event="opened"}`)
	connectionsFailed = metrics.NewCounter(`target_connections_total{event="failed"}`)
	// connectionsUnserved counts new connections on which no process answered.
	connectionsUnserved = metrics.NewCounter(`target_connections_total{event="unserved"}`)

	mismatched = metrics.NewCounter(`target_crossed_answers_total`)
	// tooLarge counts what targets sent beyond a bound, by what it is.
	tooLarge = map[string]*metrics.Counter{
		inHead:    metrics.NewCounter(`target_answers_too_large_total{what="head"}`),
		inSkipped: metrics.NewCounter(`target_answers_too_large_total{what="skipped"}`),
		inControl: metrics.NewCounter(`target_answers_too_large_total{what="control"}`),
		inBody:    metrics.NewCounter(`target_answers_too_large_total{what="body"}`),
	}
	// malformed counts the responses of targets that are no valid HTTP, by the part that is wrong.
	malformed = map[httpresponse.Part]*metrics.Counter{
		httpresponse.PartVersion:   metrics.NewCounter(`target_answers_malformed_total{what="version"}`),
		httpresponse.PartStatus:    metrics.NewCounter(`target_answers_malformed_total{what="status"}`),
		httpresponse.PartFieldName: metrics.NewCounter(`target_answers_malformed_total{what="field_name"}`),
		httpresponse.PartHead:      metrics.NewCounter(`target_answers_malformed_total{what="head"}`),
	}
)

// countMalformed counts a response if that is what an error reports.
func countMalformed(err error) {
	var failed *httpresponse.MalformedError
	if errors.As(err, &failed) {
		malformed[failed.Part].Inc()
	}
}

// Codec encodes requests to targets and decodes their responses.
type Codec struct {
	EncodeDispatch func(*exchange.Dispatch) http.Header
	DecodeReply    func(status int, header http.Header) exchange.Reply
	// ReportPath is the path of a target's report on its load and runs.
	ReportPath   string
	DecodeReport func(body []byte) (exchange.Report, error)
	DecodeHealth func(status int, header http.Header) exchange.Health
	// EndRunPath is the path of the call that ends a run. The response may contain a
	// handle for memory that the target still keeps for the run; a DELETE of
	// HandlePath frees it.
	EndRunPath   string
	EncodeEndRun func(id, by string) ([]byte, error)
	DecodeEndRun func(status int, body []byte) (handle string, err error)
	HandlePath   func(handle string) string
}

// Client sends requests to targets.
type Client struct {
	codec Codec
	pool  *pool
	// onMalformedLoad is called with each load report that could not be read. It may be nil.
	onMalformedLoad func(target, report string)
	// checksNew reports whether a process has to answer on a new connection before a request is sent there.
	checksNew bool
}

// New returns a client that connects to targets over a network.
func New(network external.Network, codec Codec) *Client {
	return &Client{codec: codec, pool: newPool(network, time.Now)}
}

// OnMalformedLoad sets a function that is called with each load report that could not be read, or
// not all of it. It must be called before the first request.
func (c *Client) OnMalformedLoad(report func(target, report string)) { c.onMalformedLoad = report }

// CheckNewConnections makes the client ask for the report of a target on each new connection before it sends a request
// there. It must be called before the first request.
func (c *Client) CheckNewConnections() { c.checksNew = true }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeAll() }

// Connected reports whether the client holds an idle connection to an address.
func (c *Client) Connected(address string) bool { return c.pool.hasIdle(address) }

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) { c.pool.closeIdle(address) }

// Refuses reports whether an address refuses connections, so that no process listens there. A
// connection that is accepted is kept for the next request.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	socket, err := c.pool.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	connectionsOpened.Inc()
	c.pool.put(newConn(address, socket))
	return false
}

// openResponse is a response whose body is still to be read.
type openResponse struct {
	reply exchange.Reply
	body  io.ReadCloser
	conn  *conn
	pool  *pool
	// stopCancel ends the watch that closes conn when the request's context ends.
	stopCancel func() bool
	// read is the number of bytes of the body that were read, atEOF whether it was read to its end.
	read  int64
	atEOF bool
	// reusable reports whether the response permits another request on conn.
	reusable bool
	// requestDone is closed once the request's body is sent or sending it failed.
	requestDone <-chan struct{}
}

// Send implements external.Sender. When ctx ends, the connection is closed, which
// makes the target drop the request.
func (c *Client) Send(ctx context.Context, address string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	conn, err := c.connectServed(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrNotSent, err)
	}
	stopCancel := context.AfterFunc(ctx, conn.close)
	response, err := c.exchange(conn, d)
	if err != nil {
		stopCancel()
		conn.close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	response.stopCancel = stopCancel
	return response, nil
}

// connect returns an idle connection from the pool, or else opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if idle, ok := c.pool.get(address); ok {
		return idle, nil
	}
	socket, err := c.pool.dial(ctx, address)
	if err != nil {
		connectionsFailed.Inc()
		return nil, err
	}
	connectionsOpened.Inc()
	return newConn(address, socket), nil
}

// exchange sends a request and reads responses until one belongs to the request.
func (c *Client) exchange(conn *conn, d *exchange.Dispatch) (*openResponse, error) {
	request := c.request(d)
	requestDone, err := send(conn, request, len(d.Body))
	if err != nil {
		return nil, err
	}
	for range maxMismatched {
		response, err := conn.readHead(request)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
		}
		if isInterim(response) {
			continue
		}
		reply := c.codec.DecodeReply(response.StatusCode, response.Header)
		if reply.ID == d.ID || reply.ID == "" && reply.NotRun {
			if reply.MalformedLoad != "" && c.onMalformedLoad != nil {
				c.onMalformedLoad(d.Target, reply.MalformedLoad)
			}
			return c.open(conn, reply, response, requestDone), nil
		}
		mismatched.Inc()
		if err := discard(response); err != nil {
			return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
		}
	}
	return nil, fmt.Errorf("%w: too many responses to other requests", external.ErrMayHaveRun)
}

func (c *Client) open(conn *conn, reply exchange.Reply, response *http.Response, requestDone <-chan struct{}) *openResponse {
	conn.idleLimit = reply.IdleTimeout
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	reply.EndsWithConnection = !framed
	return &openResponse{
		reply: reply, body: response.Body, conn: conn, pool: c.pool,
		reusable: framed && !response.Close, requestDone: requestDone,
	}
}

// discard reads a response to another request to its end.
func discard(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("response to another request has neither a length nor chunked encoding")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		tooLarge[inSkipped].Inc()
		err = fmt.Errorf("%w: response to another request of more than %d bytes", external.ErrTooLarge, maxMismatchedBytes)
	}
	return err
}

func (c *Client) request(d *exchange.Dispatch) *http.Request {
	header := c.codec.EncodeDispatch(d)
	if len(header["User-Agent"]) == 0 {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	return &http.Request{
		Method:        d.Method,
		URL:           requestURL(d),
		Host:          d.Host,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(d.Body)),
		ContentLength: int64(len(d.Body)),
	}
}

// requestURL returns a URL that is written with the path and query exactly as the caller sent
// them. Of the fields of a URL, only Opaque is written without escaping; with two slashes at its
// beginning it would be written as an absolute URL.
func requestURL(d *exchange.Dispatch) *url.URL {
	u := &url.URL{Scheme: "http", Host: d.Host, RawQuery: d.Query, ForceQuery: d.ForceQuery}
	if !strings.HasPrefix(d.Path, "//") {
		u.Opaque = d.Path
		return u
	}
	u.RawPath = d.Path
	if path, err := url.PathUnescape(d.Path); err == nil {
		u.Path = path
	}
	return u
}

// send writes a request. A large body is written concurrently with reading the
// response, because the target may respond before it has read the body. The channel
// is closed once writing has ended.
func send(conn *conn, request *http.Request, size int) (<-chan struct{}, error) {
	counting := &countingWriter{conn: conn}
	buffered := bufio.NewWriterSize(counting, inlineBodyLimit+readBuffer)
	write := func() error {
		if err := request.Write(buffered); err != nil {
			return err
		}
		return buffered.Flush()
	}
	done := make(chan struct{})
	if size > inlineBodyLimit {
		go func() {
			defer close(done)
			if write() != nil {
				conn.close()
			}
		}()
		return done, nil
	}
	defer close(done)
	if err := write(); err != nil {
		if counting.written.Load() == 0 {
			return nil, fmt.Errorf("%w: %w", external.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
	}
	return done, nil
}

// countingWriter counts the bytes that were written to a connection.
type countingWriter struct {
	conn    *conn
	written atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.net.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Head implements external.OpenAnswer.
func (r *openResponse) Head() *exchange.Reply { return &r.reply }

// Read implements io.Reader on the response body.
func (r *openResponse) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += int64(n)
	if errors.Is(err, io.EOF) {
		r.atEOF = true
	}
	if err == nil && r.read > maxBody {
		tooLarge[inBody].Inc()
		return n, fmt.Errorf("%w: body of more than %d bytes", external.ErrTooLarge, maxBody)
	}
	return n, err
}

// Close returns the connection to the pool if the response was read to its end and
// nothing unexpected was received on the connection. Otherwise it closes the
// connection.
func (r *openResponse) Close() {
	if !r.atEOF {
		r.conn.close()
	}
	reuse := r.stopCancel() && r.atEOF && r.reusable && r.requestSent() && r.conn.reader.Buffered() == 0
	if !reuse {
		r.conn.close()
		return
	}
	r.pool.put(r.conn)
}

// requestSent reports whether sending the request's body has ended. If the connection
// were reused before that, a target that responded early would read the rest of the
// body as the next request.
func (r *openResponse) requestSent() bool {
	select {
	case <-r.requestDone:
		return true
	default:
		return false
	}
}
