package targethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// maxControlBody bounds the response to a control request, in bytes, so that a target
// that sends endlessly can't exhaust the instance's memory.
const maxControlBody = 1 << 20

// errStatus is the error of a response with an unexpected status.
var errStatus = errors.New("unexpected status")

// controlPaths are the paths of orders, reports and cancels at a target.
var controlPaths = []string{"/orders", "/load", "/cache-events", "/cancel"}

// isControl reports whether a call would reach a control path.
//
// The path of a call to a plain service comes from the caller. Without this check,
// anyone with a key could give orders to a target or cancel the calls of others.
func isControl(target string) bool {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return true
	}
	clean := path.Clean("/" + parsed.Path)
	for _, control := range controlPaths {
		if clean == control || strings.HasPrefix(clean, control+"/") {
			return true
		}
	}
	return false
}

// Cancel implements external.Target.
func (c *Client) Cancel(ctx context.Context, address string, id protocol.CallID) error {
	status, _, err := c.control(ctx, http.MethodPost, address, "/cancel/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if status == http.StatusNotFound || status < 300 {
		return nil
	}
	return trace.Wrap(errStatus, "cancel: %d", status)
}

// Send implements external.OrderClient.
func (c *Client) Send(ctx context.Context, address string, order external.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	status, _, err := c.control(ctx, http.MethodPost, address, "/orders", body)
	switch {
	case err != nil:
		return trace.Wrap(err)
	case status == http.StatusPreconditionFailed:
		return external.ErrStaleFence
	case status >= 300:
		return trace.Wrap(errStatus, "order: %d", status)
	}
	return nil
}

// Current implements external.OrderClient.
func (c *Client) Current(ctx context.Context, address string) (external.OrderState, error) {
	var state external.OrderState
	data, err := c.get(ctx, address, "/orders")
	if err != nil {
		return state, err
	}
	return state, decodeControl(data, &state)
}

// Load implements external.LoadReports.
func (c *Client) Load(ctx context.Context, address string) (external.Load, error) {
	data, err := c.get(ctx, address, "/load")
	if err != nil {
		return external.Load{}, err
	}
	return decodeLoad(data)
}

// maxReportNumber bounds the numbers of a load report: the streams of one target, and
// an age of one day in milliseconds. A target that reports implausible numbers must not
// distort the averages of its whole service.
const maxReportNumber = 24 * 60 * 60 * 1000

func decodeLoad(data []byte) (external.Load, error) {
	var load external.Load
	if err := decodeControl(data, &load); err != nil {
		return external.Load{}, err
	}
	for _, n := range []int64{int64(load.Running), int64(load.Waiting), load.AgeMS} {
		if n < 0 || n > maxReportNumber {
			return external.Load{}, trace.Wrap(protocol.ErrMalformed, "load report contains the number %d", n)
		}
	}
	return load, nil
}

// Events implements external.CacheEvents.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]external.CacheEvent, error) {
	var events []external.CacheEvent
	data, err := c.get(ctx, address, "/cache-events?after="+strconv.FormatUint(after, 10))
	if err != nil {
		return nil, err
	}
	return events, decodeControl(data, &events)
}

func (c *Client) get(ctx context.Context, address, requestPath string) ([]byte, error) {
	status, data, err := c.control(ctx, http.MethodGet, address, requestPath, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if status != http.StatusOK {
		return nil, trace.Wrap(errStatus, "%s: %d", requestPath, status)
	}
	return data, nil
}

func decodeControl(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return trace.Wrap(fmt.Errorf("%w: %w", protocol.ErrMalformed, err))
	}
	return nil
}

// control sends one control request and reads the entire response.
func (c *Client) control(ctx context.Context, method, address, requestPath string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+requestPath, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.roundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody+1))
	if err != nil {
		return 0, nil, err
	}
	if len(data) > maxControlBody {
		return 0, nil, fmt.Errorf("%w: response of more than %d bytes", protocol.ErrMalformed, maxControlBody)
	}
	return resp.StatusCode, data, nil
}
