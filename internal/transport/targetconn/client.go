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
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
)

const (
	// wholeBody is the largest body that is written before the answer is
	// awaited. It fits into the socket's buffer, so that the write can't wait
	// for a target that answers without reading.
	wholeBody = 16 << 10
	// crossedAnswers is how many answers to other requests are skipped on one
	// connection before it is given up.
	crossedAnswers = 4
	// crossedBytes bounds what is read of an answer that is skipped.
	crossedBytes = 1 << 20
)

var (
	dialled = metrics.NewCounter(`target_connections_total{event="opened"}`)
	failed  = metrics.NewCounter(`target_connections_total{event="failed"}`)
	crossed = metrics.NewCounter(`target_crossed_answers_total`)
)

// Codec is how requests to targets and their answers look on the wire.
type Codec struct {
	EncodeDispatch func(*exchange.Dispatch) http.Header
	DecodeReply    func(status int, header http.Header) exchange.Reply
	// ReportPath is where a target reports of itself.
	ReportPath   string
	DecodeReport func(body []byte) (exchange.Report, error)
	DecodeHealth func(status int, header http.Header) exchange.Health
	// EndRunPath is where a run is ended. Its answer may name memory that the target
	// keeps, which is freed at HandlePath.
	EndRunPath   string
	EncodeEndRun func(id, by string) ([]byte, error)
	DecodeEndRun func(status int, body []byte) (handle string, err error)
	HandlePath   func(handle string) string
}

// Client sends requests to targets.
type Client struct {
	codec Codec
	pool  *pool
}

// New returns a client without connections.
func New(network external.Network, codec Codec) *Client {
	return &Client{codec: codec, pool: newPool(network, time.Now)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeAll() }

// Connected says that an idle connection to an address is kept.
func (c *Client) Connected(address string) bool { return c.pool.has(address) }

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) { c.pool.forget(address) }

// answer is an answer whose body is still to be read.
type answer struct {
	reply exchange.Reply
	body  io.ReadCloser
	conn  *conn
	pool  *pool
	stop  func() bool
	whole bool
	reuse bool
	// written is closed once the request's body is sent or given up.
	written <-chan struct{}
}

// Send implements external.Sender. When ctx ends, the connection is closed, and
// the target drops the request then.
func (c *Client) Send(ctx context.Context, address string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	link, err := c.link(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, link.close)
	opened, err := c.exchange(link, d)
	if err != nil {
		stop()
		link.close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	opened.stop = stop
	return opened, nil
}

// link gives a connection that was kept, or a new one.
func (c *Client) link(ctx context.Context, address string) (*conn, error) {
	if kept, ok := c.pool.take(address); ok {
		return kept, nil
	}
	socket, err := c.pool.dial(ctx, address)
	if err != nil {
		failed.Inc()
		return nil, err
	}
	dialled.Inc()
	return newConn(address, socket), nil
}

func (c *Client) exchange(link *conn, d *exchange.Dispatch) (*answer, error) {
	request := c.request(d)
	written, err := write(link, request, len(d.Body))
	if err != nil {
		return nil, err
	}
	for range crossedAnswers {
		response, err := http.ReadResponse(link.reader, request)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := c.codec.DecodeReply(response.StatusCode, response.Header)
		if reply.ID == d.ID || reply.ID == "" && reply.NotRun {
			return c.answer(link, reply, response, written), nil
		}
		crossed.Inc()
		if err := skip(response); err != nil {
			return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
		}
	}
	return nil, fmt.Errorf("%w: too many answers to other requests", external.ErrMayHaveRun)
}

func (c *Client) answer(link *conn, reply exchange.Reply, response *http.Response, written <-chan struct{}) *answer {
	link.idleLimit = reply.IdleTimeout
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return &answer{
		reply: reply, body: response.Body, conn: link, pool: c.pool,
		reuse: framed && !response.Close, written: written,
	}
}

// skip reads an answer that belongs to another request to its end.
func skip(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("answer to another request without an end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, crossedBytes))
	if err == nil && n == crossedBytes {
		err = errors.New("answer to another request is too long")
	}
	return err
}

func (c *Client) request(d *exchange.Dispatch) *http.Request {
	header := c.codec.EncodeDispatch(d)
	if len(header["User-Agent"]) == 0 {
		// An empty one keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	return &http.Request{
		Method:        d.Method,
		URL:           target(d),
		Host:          d.Host,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(d.Body)),
		ContentLength: int64(len(d.Body)),
	}
}

// target gives the path and query exactly as the caller sent them.
func target(d *exchange.Dispatch) *url.URL {
	u := &url.URL{Scheme: "http", Host: d.Host, RawPath: d.Path, RawQuery: d.Query}
	path, err := url.PathUnescape(d.Path)
	if err != nil {
		u.Opaque = d.Path
		return u
	}
	u.Path = path
	return u
}

// write sends a request. A large body is sent beside the reading of the answer,
// which may come first.
func write(link *conn, request *http.Request, size int) (<-chan struct{}, error) {
	counted := &countedWriter{to: link}
	buffered := bufio.NewWriterSize(counted, wholeBody+readBuffer)
	send := func() error {
		if err := request.Write(buffered); err != nil {
			return err
		}
		return buffered.Flush()
	}
	written := make(chan struct{})
	if size > wholeBody {
		go func() {
			defer close(written)
			if send() != nil {
				link.close()
			}
		}()
		return written, nil
	}
	defer close(written)
	if err := send(); err != nil {
		if counted.sent.Load() == 0 {
			return nil, fmt.Errorf("%w: %w", external.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, err)
	}
	return written, nil
}

// countedWriter knows whether anything left.
type countedWriter struct {
	to   *conn
	sent atomic.Int64
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.to.net.Write(p)
	w.sent.Add(int64(n))
	return n, err
}

// Head implements external.OpenAnswer.
func (a *answer) Head() *exchange.Reply { return &a.reply }

// Read implements io.Reader on the answer's body.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close keeps the connection if the answer was read to its end and nothing on
// it was amiss, and closes it otherwise.
func (a *answer) Close() {
	if !a.whole {
		a.conn.close()
	}
	reuse := a.stop() && a.whole && a.reuse && a.sentWhole() && a.conn.reader.Buffered() == 0
	if !reuse {
		a.conn.close()
		return
	}
	a.pool.put(a.conn)
}

// sentWhole says that the request's body is not being sent any more. Otherwise a
// target that answered early reads the rest of it as the next request.
func (a *answer) sentWhole() bool {
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}
