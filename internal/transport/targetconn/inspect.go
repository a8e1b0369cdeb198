package targetconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/transport/httpresponse"
)

// maxControlBody bounds the response to a call that is not a caller's request, in
// bytes. A report lists each run of a target, some hundred bytes at most per run.
const maxControlBody = 256 << 10

// Report implements external.Inspector.
func (c *Client) Report(ctx context.Context, address string) (exchange.Report, error) {
	status, _, body, err := c.call(ctx, address, http.MethodGet, c.codec.ReportPath, nil)
	if httpresponse.IsMalformed(err) {
		// A process answers at the address: without this, the target would count as silent, as one that hangs.
		return exchange.Report{}, trace.BadParameter("report of the target at %s: %v", address, err)
	}
	if err != nil {
		return exchange.Report{}, trace.Wrap(err)
	}
	if status != http.StatusOK {
		return exchange.Report{}, trace.BadParameter("target at %s responded with status %d to a call for its report", address, status)
	}
	report, err := c.codec.DecodeReport(body)
	return report, trace.Wrap(err)
}

// EndRun implements external.Inspector.
func (c *Client) EndRun(ctx context.Context, address, id, by string) error {
	content, err := c.codec.EncodeEndRun(id, by)
	if err != nil {
		return trace.Wrap(err)
	}
	status, _, body, err := c.call(ctx, address, http.MethodPost, c.codec.EndRunPath, content)
	if err != nil {
		return trace.Wrap(err)
	}
	handle, err := c.codec.DecodeEndRun(status, body)
	if err != nil || handle == "" {
		return trace.Wrap(err)
	}
	_, _, _, err = c.call(ctx, address, http.MethodDelete, c.codec.HandlePath(handle), nil)
	return trace.Wrap(err)
}

// Health implements external.HealthChecker.
func (c *Client) Health(ctx context.Context, address, path string) (exchange.Health, error) {
	status, header, _, err := c.call(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return exchange.Health{}, trace.Wrap(err)
	}
	return c.codec.DecodeHealth(status, header), nil
}

// call makes one call and reads the entire response.
func (c *Client) call(ctx context.Context, address, method, path string, content []byte) (status int, header http.Header, body []byte, err error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return 0, nil, nil, err
	}
	response, body, reusable, err := callOn(ctx, conn, method, path, content)
	if reusable {
		c.pool.put(conn)
	} else {
		conn.close()
	}
	if response == nil {
		return 0, nil, nil, err
	}
	return response.StatusCode, response.Header, body, err
}

// callOn makes one call on a connection and reads the entire response, nil if there is none. reusable reports whether
// another call may follow on the connection.
func callOn(ctx context.Context, conn *conn, method, path string, content []byte) (response *http.Response, body []byte, reusable bool, err error) {
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	request, err := http.NewRequest(method, "http://"+conn.address+path, bytes.NewReader(content))
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	if len(content) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if err := request.Write(conn.net); err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	response, err = conn.readHead(request)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxControlBody+1))
	if err == nil && len(body) > maxControlBody {
		tooLarge[inControl].Inc()
		err = fmt.Errorf("%w: response of more than %d bytes", external.ErrTooLarge, maxControlBody)
	}
	reusable = err == nil && !response.Close && conn.reader.Buffered() == 0 && stop()
	return response, body, reusable, trace.Wrap(err)
}

// connectServed returns a connection on which a process has answered. One that has not may be in the queue of a listener
// whose process has ended or stands still: a request there would be read much later, after it was answered elsewhere.
func (c *Client) connectServed(ctx context.Context, address string) (*conn, error) {
	conn, err := c.connect(ctx, address)
	if err != nil || conn.answered || !c.checksNew {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, newConnectionTimeout)
	defer cancel()
	response, _, reusable, err := callOn(ctx, conn, http.MethodGet, c.codec.ReportPath, nil)
	if reusable {
		return conn, nil
	}
	conn.close()
	if response == nil && !httpresponse.IsMalformed(err) {
		connectionsUnserved.Inc()
		return nil, trace.Wrap(err, "no process answers on a new connection to %s", address)
	}
	// A process answers. It closes each connection after one response, or its report is malformed.
	return c.connect(ctx, address)
}
