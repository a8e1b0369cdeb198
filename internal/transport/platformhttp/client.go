package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

const (
	// dialTimeout bounds a connect; the platform is a few milliseconds away.
	dialTimeout = 2 * time.Second
	// replyTimeout bounds the wait for an answer beyond the wait that a read
	// asked for. A hung platform is then an outage, not a stuck duty.
	replyTimeout = 5 * time.Second
	// maxPageBytes bounds a page: a reader never holds more.
	maxPageBytes = 8 << 20
	// idleConns keeps one connection for each duty that talks to the platform.
	idleConns = 16
)

// Client reaches one platform address.
type Client struct {
	base string
	http *http.Client

	// listed is the last listing with its entity tag: a list that did not
	// change is answered by a few bytes. At 850 targets the whole of it once a
	// second would cost six times an instance's budget for control.
	listMu    sync.Mutex
	listed    external.Listing
	listedTag string
}

var (
	_ external.Log          = (*Client)(nil)
	_ external.InstanceList = (*Client)(nil)
	_ external.WeightStore  = (*Client)(nil)
)

// New returns a client of the platform at "ip:port".
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Append implements external.Log. net/http sends a POST once: an append whose
// answer is lost comes back as ErrUnavailable, and the journal decides.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	target := c.base + "/log/" + url.PathEscape(stream)
	body, err := c.do(ctx, http.MethodPost, target, payload, replyTimeout)
	if err != nil {
		return protocol.NoOffset, err
	}
	var reply AppendReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return protocol.NoOffset, fmt.Errorf("%w: append answer: %w", external.ErrUnavailable, err)
	}
	return reply.Offset, nil
}

// Read implements external.Log.
func (c *Client) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(int64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	target := c.base + "/log/" + url.PathEscape(stream) + "?" + query.Encode()
	body, err := c.do(ctx, http.MethodGet, target, nil, replyTimeout+wait)
	if err != nil {
		return external.Page{}, err
	}
	var wire PageWire
	if err := protocol.Unmarshal(body, &wire); err != nil {
		return external.Page{}, fmt.Errorf("%w: page: %w", external.ErrUnavailable, err)
	}
	return wire.page()
}

func (w PageWire) page() (external.Page, error) {
	page := external.Page{Oldest: w.Oldest, Next: w.Next}
	for _, entry := range w.Entries {
		page.Entries = append(page.Entries, external.Entry(entry))
	}
	if w.Trimmed {
		return page, external.ErrTrimmed
	}
	return page, nil
}

// List implements external.InstanceList.
func (c *Client) List(ctx context.Context) (external.Listing, error) {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	reply, err := c.exchange(ctx, http.MethodGet, c.base+"/list", nil, replyTimeout, c.listedTag)
	if err != nil {
		return external.Listing{}, err
	}
	if reply.status == http.StatusNotModified && c.listedTag != "" {
		return c.listed, nil
	}
	if err := statusError(reply.status); err != nil {
		return external.Listing{}, err
	}
	var listing external.Listing
	if err := json.Unmarshal(reply.body, &listing); err != nil {
		return external.Listing{}, fmt.Errorf("%w: list: %w", external.ErrUnavailable, err)
	}
	c.listed, c.listedTag = listing, reply.tag
	return listing, nil
}

// Stat implements external.WeightStore.
func (c *Client) Stat(ctx context.Context, model protocol.ModelName, version string) (int64, error) {
	target := c.base + "/weights/" + url.PathEscape(string(model)) + "/" + url.PathEscape(version)
	body, err := c.do(ctx, http.MethodGet, target, nil, replyTimeout)
	if err != nil {
		return 0, err
	}
	var reply WeightReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, fmt.Errorf("%w: weights: %w", external.ErrUnavailable, err)
	}
	return reply.Bytes, nil
}

func (c *Client) do(ctx context.Context, method, target string, payload []byte, timeout time.Duration) ([]byte, error) {
	reply, err := c.exchange(ctx, method, target, payload, timeout, "")
	if err != nil {
		return nil, err
	}
	return reply.body, statusError(reply.status)
}

// reply is an answer of the platform, whatever its status.
type reply struct {
	status int
	tag    string
	body   []byte
}

// exchange sends one request. With a tag it asks for an answer only if what
// the tag stands for has changed.
func (c *Client) exchange(ctx context.Context, method, target string, payload []byte, timeout time.Duration, tag string) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	return &reply{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: body}, nil
}

// statusError maps the platform's answers. An answer that is neither success
// nor a known refusal says nothing about the effect.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return external.ErrThrottled
	case http.StatusRequestEntityTooLarge:
		return external.ErrEntryTooLarge
	default:
		return fmt.Errorf("%w: status %d", external.ErrUnavailable, status)
	}
}
