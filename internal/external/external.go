// Package external holds the narrow interfaces behind which merlintiller meets
// everything outside itself: the platform's log, instance list and weight
// store, and the targets with their calls, orders, load reports and cache
// events. Nothing else in the code knows a wire form; the thin HTTP adapters
// live in internal/transport.
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
	// ErrUnavailable: the service did not answer. For an append this says
	// nothing about its effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled: the service refused because of its rate limit. The
	// operation had no effect.
	ErrThrottled = errors.New("platform throttled")
	// ErrTrimmed: the entries asked for have left retention.
	ErrTrimmed = errors.New("entries left retention")
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
	// Oldest is the first offset still kept, Next the offset that the next
	// append will get.
	Oldest, Next protocol.Offset
}

// Log is the platform's append-only log with offsets.
type Log interface {
	// Append adds one entry and returns its offset. After ErrUnavailable the
	// entry may stand in the stream all the same.
	Append(ctx context.Context, stream string, payload []byte) (protocol.Offset, error)
	// Read returns entries from an offset on, at most limit. With nothing
	// there it waits up to wait for an entry. ErrTrimmed comes with a Page
	// whose Oldest says where reading can go on.
	Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (Page, error)
}

// ListedTarget is one line of the platform's list of targets.
type ListedTarget struct {
	ID      protocol.TargetID    `json:"id"`
	Service protocol.ServiceName `json:"service"`
	Domain  protocol.Domain      `json:"domain"`
	// Address is "ip:port".
	Address string `json:"address"`
	// Leaving says that the target is about to go.
	Leaving bool `json:"leaving,omitempty"`
}

// ListedInstance is one line of the platform's list of entry instances.
type ListedInstance struct {
	ID      protocol.InstanceID `json:"id"`
	Domain  protocol.Domain     `json:"domain"`
	Address string              `json:"address"`
	Leaving bool                `json:"leaving,omitempty"`
}

// Listing is the platform's lagging view of what exists. It says who may
// exist and is never proof of death.
type Listing struct {
	Targets   []ListedTarget   `json:"targets"`
	Instances []ListedInstance `json:"instances"`
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
	// Header holds only headers that the allow list passed.
	Header http.Header
	Body   []byte
	// ResumeAt is the number of tokens the caller has already; a target that
	// can resume starts the stream there.
	ResumeAt int
}

// Answer is a target's reply. The caller must close Body.
type Answer struct {
	// EchoedID is the call id that the target answered for. A caller drops an
	// answer whose EchoedID is not its own.
	EchoedID protocol.CallID
	Status   int
	Header   http.Header
	Body     io.ReadCloser
}

// CallError is a failed call with what is known of its effect.
type CallError struct {
	Run protocol.RunState
	Err error
}

// Error describes the failure and its run state.
func (e *CallError) Error() string { return string(e.Run) + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Causes inside a CallError that decide what happens to the target and the
// connection.
var (
	// ErrNotStarted: the target said itself that it did not begin the call.
	ErrNotStarted = errors.New("target did not begin the call")
	// ErrLeaving: the target did not begin the call because it is leaving.
	ErrLeaving = errors.New("target is leaving")
	// ErrCallIDMismatch: the answer echoed the id of another call. It was dropped
	// and its connection closed.
	ErrCallIDMismatch = errors.New("answer belongs to another call")
	// ErrPathNotAllowed: the path is one where targets take orders or answer
	// about themselves. No call may go there.
	ErrPathNotAllowed = errors.New("the path is not open to calls")
)

// Target sends calls to one target. Its errors are *CallError.
type Target interface {
	Do(ctx context.Context, address string, call Call) (*Answer, error)
	// Cancel asks the target to stop a call. It is a hint: the call may end
	// on its own first.
	Cancel(ctx context.Context, address string, id protocol.CallID) error
}

// Order tells a target what to load or which role to take. Orders are
// level-triggered: they state what is wanted, not a step.
type Order struct {
	// Fence is the offset of the claim under which the order is given. A
	// target that checks refuses an order with a smaller number than it saw.
	Fence   protocol.Offset    `json:"fence"`
	Model   protocol.ModelName `json:"model"`
	Version string             `json:"version"`
	Adapter string             `json:"adapter,omitempty"`
	Role    string             `json:"role,omitempty"`
}

// ErrStaleFence is a target's refusal of an order with an old fencing number.
var ErrStaleFence = errors.New("target refused an old fencing number")

// OrderState is what a target says it runs now.
type OrderState struct {
	Fence protocol.Offset `json:"fence"`
	Order Order           `json:"order"`
	// Busy says that the target still works on an order.
	Busy bool `json:"busy"`
}

// OrderClient gives orders to targets.
type OrderClient interface {
	Send(ctx context.Context, address string, order Order) error
	Current(ctx context.Context, address string) (OrderState, error)
}

// Load is a target's own report, as of some time ago.
type Load struct {
	Target protocol.TargetID `json:"target"`
	// Running and Waiting count the target's streams from all instances.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Leaving says that the target will take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the age of the report in milliseconds as the target states it.
	AgeMS int64 `json:"age_ms"`
}

// LoadReports reads the load that a target reports, with a lag.
type LoadReports interface {
	Load(ctx context.Context, address string) (Load, error)
}

// CacheEvent says that a target holds, or dropped, the KV cache of a prompt
// prefix. Events come late and with gaps, so they are hints.
type CacheEvent struct {
	Target protocol.TargetID `json:"target"`
	// Prefix is the hash of the prompt prefix.
	Prefix  uint64 `json:"prefix"`
	Dropped bool   `json:"dropped,omitempty"`
	Seq     uint64 `json:"seq"`
}

// CacheEvents reads the cache events of a target after a sequence number.
type CacheEvents interface {
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}
