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
)

// maxControlBody bounds the response to a call that is not a caller's request, in
// bytes. A report lists each run of a target, some hundred bytes at most per run.
const maxControlBody = 256 << 10

// Report implements external.Inspector.
func (c *Client) Report(ctx context.Context, address string) (exchange.Report, error) {
	status, _, body, err := c.call(ctx, address, http.MethodGet, c.codec.ReportPath, nil)
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
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(content))
	if err != nil {
		conn.close()
		return 0, nil, nil, trace.Wrap(err)
	}
	if len(content) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if err := request.Write(conn.net); err != nil {
		conn.close()
		return 0, nil, nil, trace.Wrap(err)
	}
	response, err := conn.readHead(request)
	if err != nil {
		conn.close()
		return 0, nil, nil, trace.Wrap(err)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxControlBody+1))
	if err == nil && len(body) > maxControlBody {
		tooLarge[inControl].Inc()
		err = fmt.Errorf("%w: response of more than %d bytes", external.ErrTooLarge, maxControlBody)
	}
	if err != nil || response.Close || conn.reader.Buffered() > 0 || !stop() {
		conn.close()
		return response.StatusCode, response.Header, body, trace.Wrap(err)
	}
	c.pool.put(conn)
	return response.StatusCode, response.Header, body, nil
}
