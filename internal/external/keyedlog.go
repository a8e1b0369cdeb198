package external

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrNotPerformed reports that the service answered without performing the operation,
// because it is busy, rejected this instance or limits its rate. Unlike after
// ErrUnavailable, the operation certainly had no effect and can be abandoned.
var ErrNotPerformed = errors.New("platform did not perform the operation")

// ErrLogFull reports that the log has reached its size limit. Nothing was appended.
var ErrLogFull = errors.New("platform's log is full")

// ErrNotPartitionOwner reports that the partition is not, or no longer, assigned to this
// member of the group.
var ErrNotPartitionOwner = errors.New("partition is assigned to another member")

// EndMismatchError reports that the partition did not end where the writer expected, so
// nothing was appended. Either another writer appended first, or an earlier append of
// the same writer succeeded and its answer was lost.
type EndMismatchError struct {
	// End is the offset at which the partition ends.
	End int64
}

// Error describes the mismatch.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("partition ends at %d, not at the expected offset", e.End)
}

// IncompleteReadError reports that reading the newest records of all keys failed after some
// pages of them, which are not returned. The next call may continue after them.
type IncompleteReadError struct {
	// Pages, Records and Bytes count what had been received.
	Pages, Records, Bytes int
	// Err is the error of the page that failed.
	Err error
}

// Error returns the text of Err.
func (e *IncompleteReadError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *IncompleteReadError) Unwrap() error { return e.Err }

// Partition is one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// String returns "topic/number".
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// KeyedRecord is a record of a keyed topic. The newest record of each key is retained
// permanently.
type KeyedRecord struct {
	Key string
	// Value is empty if the record deletes its key.
	Value []byte
	// Offset is assigned by the log; it is 0 in appends.
	Offset int64
}

// KeyedPage is the answer to a read.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is the offset at which reading continues.
	Next int64
	// First is the oldest retained offset, End the offset of the next record.
	First, End int64
}

// AnyEnd is the value of the end argument of KeyedLog.Append that disables the check.
const AnyEnd int64 = -1

// KeyedLog is a log whose topics retain the newest record of each key. Its operations
// are linearizable. If an answer is lost, the operation may or may not have an effect;
// an append may still take effect seconds later if its condition holds then.
type KeyedLog interface {
	// Append adds all records or none and returns the new end of the partition. If end
	// is not AnyEnd and the partition does not end there, it appends nothing and
	// returns *EndMismatchError.
	Append(ctx context.Context, p Partition, records []KeyedRecord, end int64) (int64, error)
	// Read returns records, starting at offset from. If there are none, it waits up to
	// wait for one. It returns ErrTrimmed if the offset has left retention.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Later changes are read from the End
	// that it returns; the result may already contain some of them.
	Newest(ctx context.Context, p Partition) (KeyedPage, error)
}

// Member is an instance's membership in a group that divides partitions.
type Member struct {
	Group  string
	Name   string
	Topics []string
	// SessionTimeout is the time without a Join call after which the member's
	// partitions are assigned to others.
	SessionTimeout time.Duration
	// Generation is the last generation that this member received, initially 0.
	Generation int64
}

// Assignment is the set of partitions assigned to a member of a group.
type Assignment struct {
	Generation int64
	Partitions []Partition
}

// Owner is the member that a partition is assigned to.
type Owner struct {
	Partition Partition
	Member    string
}

// Groups divides the partitions of topics among the members of a group. A partition
// may be reassigned at any time.
type Groups interface {
	// Join joins the group or renews the membership, and returns the member's
	// assignment.
	Join(ctx context.Context, m Member) (Assignment, error)
	// Leave releases all partitions and ends the membership.
	Leave(ctx context.Context, m Member) error
}
