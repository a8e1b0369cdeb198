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
	"merlintiller/internal/transport/httpresponse"
)

const (
	// dialTimeout bounds connecting. The platform is a few milliseconds away.
	dialTimeout = 2 * time.Second
	// replyTimeout bounds the wait for a response, in addition to the wait that a read
	// itself requests. A platform that hangs is thus treated as an outage instead of
	// blocking a background service.
	replyTimeout = 5 * time.Second
	// maxPageBytes bounds a response, and so the memory that one read uses.
	maxPageBytes = 8 << 20
	// maxResponseHead bounds the head of a response in bytes.
	maxResponseHead = 32 << 10
	// maxIdleConns is one connection for each background service that uses the platform.
	maxIdleConns = 16
)

// Client is a client of the platform at one address.
type Client struct {
	base string
	http *http.Client

	// lastListing is the last listing, and lastETag its entity tag. The platform
	// answers a request for an unchanged listing in a few bytes. With 850 targets,
	// fetching all of it once a second would cost six times an instance's budget for
	// control traffic.
	listMu      sync.Mutex
	lastListing external.Listing
	lastETag    string
}

var (
	_ external.Log          = (*Client)(nil)
	_ external.InstanceList = (*Client)(nil)
	_ external.WeightStore  = (*Client)(nil)
)

// New returns a client of the platform at "ip:port".
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(address, dialer.DialContext)
}

func newClient(address string, dial httpresponse.DialFunc) *Client {
	transport := &http.Transport{
		DialContext:         httpresponse.Dialer(dial),
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: httpresponse.Transport{Transport: transport}}}
}

// Append implements external.Log. net/http sends a POST once: an append whose response
// is lost returns ErrUnavailable, and the journal decides whether to send it again.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error) {
	target := c.base + "/log/" + url.PathEscape(stream)
	body, err := c.do(ctx, http.MethodPost, target, payload, replyTimeout)
	if err != nil {
		return protocol.NoOffset, err
	}
	var reply AppendReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return protocol.NoOffset, fmt.Errorf("%w: append response: %w", external.ErrUnavailable, err)
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
	reply, err := c.exchange(ctx, http.MethodGet, c.base+"/list", nil, replyTimeout, c.lastETag)
	if err != nil {
		return external.Listing{}, err
	}
	if reply.status == http.StatusNotModified && c.lastETag != "" {
		return c.lastListing, nil
	}
	if err := statusError(reply.status); err != nil {
		return external.Listing{}, err
	}
	listing, err := decodeListing(reply.body)
	if err != nil {
		return external.Listing{}, fmt.Errorf("%w: list: %w", external.ErrUnavailable, err)
	}
	c.lastListing, c.lastETag = listing, reply.etag
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

// reply is a response of the platform with any status.
type reply struct {
	status int
	etag   string
	body   []byte
}

// exchange sends one request. With an etag, the platform responds with 304 if the
// resource has not changed.
func (c *Client) exchange(ctx context.Context, method, target string, payload []byte, timeout time.Duration, etag string) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
	if err == nil && len(body) > maxPageBytes {
		err = fmt.Errorf("response of more than %d bytes", maxPageBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	return &reply{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// statusError converts a status to an error. A status that is neither success nor a
// known rejection leaves open whether the request took effect.
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
