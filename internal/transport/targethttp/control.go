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

	"merlintiller/internal/platform"
	"merlintiller/internal/protocol"
)

// maxControlBody bounds the answer to a control request: a target that sends
// without end can't fill the instance's memory.
const maxControlBody = 1 << 20

// errStatus is an answer with a status that was not expected.
var errStatus = errors.New("unexpected status")

// errControlPath is a caller's call to a path that is kept for control.
var errControlPath = errors.New("the path is not open to callers")

// controlPaths are where a target takes orders and answers about itself.
var controlPaths = []string{"/orders", "/load", "/cache-events", "/cancel"}

// isControl reports whether a call would reach a control path.
//
// What goes wrong without it: the path of a call to a plain service comes from
// the caller, so anyone with a key could give orders to a target or cancel the
// calls of others.
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

// Cancel implements platform.Target.
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

// Give implements platform.Orders.
func (c *Client) Give(ctx context.Context, address string, order platform.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	status, _, err := c.control(ctx, http.MethodPost, address, "/orders", body)
	switch {
	case err != nil:
		return trace.Wrap(err)
	case status == http.StatusPreconditionFailed:
		return platform.ErrStaleFence
	case status >= 300:
		return trace.Wrap(errStatus, "order: %d", status)
	}
	return nil
}

// Current implements platform.Orders.
func (c *Client) Current(ctx context.Context, address string) (platform.OrderState, error) {
	var state platform.OrderState
	err := c.get(ctx, address, "/orders", &state)
	return state, err
}

// Load implements platform.LoadReports.
func (c *Client) Load(ctx context.Context, address string) (platform.Load, error) {
	var load platform.Load
	if err := c.get(ctx, address, "/load", &load); err != nil {
		return platform.Load{}, err
	}
	if load.Running < 0 || load.Waiting < 0 || load.AgeMS < 0 {
		return platform.Load{}, trace.Wrap(protocol.ErrMalformed, "load report with a negative number")
	}
	return load, nil
}

// Events implements platform.CacheEvents.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]platform.CacheEvent, error) {
	var events []platform.CacheEvent
	err := c.get(ctx, address, "/cache-events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, address, at string, value any) error {
	status, data, err := c.control(ctx, http.MethodGet, address, at, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if status != http.StatusOK {
		return trace.Wrap(errStatus, "%s: %d", at, status)
	}
	return decodeControl(data, value)
}

func decodeControl(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return trace.Wrap(fmt.Errorf("%w: %w", protocol.ErrMalformed, err))
	}
	return nil
}

// control makes one short request and reads its whole answer.
func (c *Client) control(ctx context.Context, method, address, at string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+at, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody+1))
	if err != nil {
		return 0, nil, err
	}
	if len(data) > maxControlBody {
		return 0, nil, fmt.Errorf("%w: answer of more than %d bytes", protocol.ErrMalformed, maxControlBody)
	}
	return resp.StatusCode, data, nil
}
