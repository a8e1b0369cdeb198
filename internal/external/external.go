// Package external defines the interfaces to everything outside merlintiller: the
// platform's log, instance list and weight store, and the targets with their calls,
// orders, load reports and cache events. Only the HTTP adapters in internal/transport
// know the wire formats.
package external

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"merlintiller/internal/protocol"
)

// Errors of the log and the other platform services.
var (
	// ErrUnavailable: the service did not answer. An append may or may not have had
	// an effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled: the service rejected the operation because of its rate limit. The
	// operation had no effect.
	ErrThrottled = errors.New("platform throttled")
	// ErrTrimmed: the requested entries have left retention.
	ErrTrimmed = errors.New("log entries are no longer retained")
	// ErrEntryTooLarge: the payload exceeds the log's limit on one entry.
	ErrEntryTooLarge = errors.New("log entry too large")
)

// Entry is one entry of a stream.
type Entry struct {
	Offset  protocol.Offset
	Payload []byte
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// Oldest is the first retained offset, Next the offset of the next append.
	Oldest, Next protocol.Offset
}

// Log is the platform's append-only log with offsets.
type Log interface {
	// Append adds one entry and returns its offset. After ErrUnavailable the entry may
	// nevertheless be in the stream.
	Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error)
	// Read returns at most limit entries, starting at offset from. If there are none,
	// it waits up to wait for an entry. With ErrTrimmed it also returns a Page, whose
	// Oldest is the offset at which reading can continue.
	Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (Page, error)
}

// ListedTarget is one line of the platform's list of targets.
type ListedTarget struct {
	ID      protocol.TargetID    `json:"id"`
	Service protocol.ServiceName `json:"service"`
	Domain  protocol.Domain      `json:"domain"`
	// Address is "ip:port".
	Address string `json:"address"`
	// Version is the version of the target's software, not of its model weights. Targets
	// without one count as of the same version.
	Version string `json:"version,omitempty"`
	// Leaving reports whether the target is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// ListedInstance is one line of the platform's list of entry instances.
type ListedInstance struct {
	ID      protocol.InstanceID `json:"id"`
	Domain  protocol.Domain     `json:"domain"`
	Address string              `json:"address"`
	Leaving bool                `json:"leaving,omitempty"`
}

// Listing is the platform's list of processes. The list lags behind: it shows which
// processes may exist and never proves that one has terminated.
type Listing struct {
	Targets   []ListedTarget   `json:"targets"`
	Instances []ListedInstance `json:"instances"`
	// Unreadable is the number of lines that could not be read and are left out.
	Unreadable int `json:"-"`
}

// InstanceList is the platform's list of live and leaving processes.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Stat returns the size in bytes of a version of a model's weights.
	Stat(ctx context.Context, model protocol.ModelName, version string) (int64, error)
}

// Call is one request to a target.
type Call struct {
	ID     protocol.CallID
	Method string
	Path   string
	// Header contains only headers on the allow list.
	Header http.Header
	Body   []byte
	// ResumeAt is the number of tokens that the caller has already received. A target
	// that can resume starts the stream there.
	ResumeAt int
}

// Answer is a target's reply. The caller must close Body.
type Answer struct {
	// EchoedID is the id of the call that the target answered. An answer whose
	// EchoedID is not the id of the call is discarded.
	EchoedID protocol.CallID
	Status   int
	Header   http.Header
	Body     io.ReadCloser
}

// CallError is the error of a failed call, with its run state.
type CallError struct {
	Run protocol.RunState
	Err error
}

// Error describes the failure and its run state.
func (e *CallError) Error() string { return string(e.Run) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Causes in a CallError that determine how the target and the connection are handled.
var (
	// ErrNotStarted: the target itself reported that it did not start the call.
	ErrNotStarted = errors.New("target did not start the call")
	// ErrLeaving: the target did not start the call because it is leaving.
	ErrLeaving = errors.New("target is leaving")
	// ErrCallIDMismatch: the answer echoed the id of another call. The answer was
	// discarded and its connection closed.
	ErrCallIDMismatch = errors.New("answer has the id of another call")
	// ErrPathNotAllowed: the path is reserved for orders to targets and queries of
	// their state. Calls may not use it.
	ErrPathNotAllowed = errors.New("path is reserved and not allowed for calls")
)

// Target sends calls to one target. Its errors are *CallError.
type Target interface {
	// Do sends a call and waits for the head of its answer.
	Do(ctx context.Context, address string, call Call) (*Answer, error)
	// Cancel requests the target to stop a call. The call may complete before the
	// request takes effect.
	Cancel(ctx context.Context, address string, id protocol.CallID) error
}

// Order tells a target which model to load and which role to take. Orders are
// level-triggered: an order states the desired state and not a step towards it.
type Order struct {
	// Fence is the fencing number: the offset of the claim under which the order is
	// sent. A target that checks it rejects an order with a lower number than it has
	// seen.
	Fence   protocol.Offset    `json:"fence"`
	Model   protocol.ModelName `json:"model"`
	Version string             `json:"version"`
	Adapter string             `json:"adapter,omitempty"`
	Role    string             `json:"role,omitempty"`
}

// ErrStaleFence reports that a target rejected an order with an old fencing number.
var ErrStaleFence = errors.New("target rejected an old fencing number")

// OrderState is the order that a target currently runs, as reported by the target.
type OrderState struct {
	Fence protocol.Offset `json:"fence"`
	Order Order           `json:"order"`
	// Busy reports whether the target is still executing an order.
	Busy bool `json:"busy"`
}

// OrderClient sends orders to targets.
type OrderClient interface {
	// Send sends an order to the target at an address.
	Send(ctx context.Context, address string, order Order) error
	// Current returns the order that the target currently runs.
	Current(ctx context.Context, address string) (OrderState, error)
}

// Load is the load that a target reports, which may be out of date by AgeMS.
type Load struct {
	Target protocol.TargetID `json:"target"`
	// Running and Waiting count the target's streams from all instances.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Leaving reports whether the target no longer accepts new work.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the age of the report in milliseconds, as stated by the target.
	AgeMS int64 `json:"age_ms"`
}

// LoadReports reads load reports from targets. The reports lag behind the actual load.
type LoadReports interface {
	Load(ctx context.Context, address string) (Load, error)
}

// CacheEvent reports that a target has cached or evicted the KV cache of a prompt
// prefix. Events arrive late and with gaps, so they are hints.
type CacheEvent struct {
	Target protocol.TargetID `json:"target"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Dropped reports whether the target evicted the cache.
	Dropped bool   `json:"dropped,omitempty"`
	Seq     uint64 `json:"seq"`
}

// CacheEvents reads the cache events of a target.
type CacheEvents interface {
	// Events returns the events with a sequence number above after.
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}
