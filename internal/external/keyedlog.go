package external

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrNotPerformed: the service answered that it did nothing, because it is busy,
// turned this instance away or limits its rate. Unlike after ErrUnavailable the
// same operation can be given up safely.
var ErrNotPerformed = errors.New("platform did nothing")

// ErrLogFull: the log holds as much as it may. Nothing was appended.
var ErrLogFull = errors.New("platform's log is full")

// ErrNotPartitionOwner: the group's partition is not, or no longer, held by this member.
var ErrNotPartitionOwner = errors.New("partition is held by another member")

// EndMismatchError: the partition did not end where the writer expected, so nothing
// was appended. Some other writer came first, or an earlier append of the same
// writer did, whose answer was lost.
type EndMismatchError struct {
	// End is where the partition ends.
	End int64
}

// Error says where the partition ends.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("partition moved on to %d", e.End) }

// Partition is one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// String gives "topic/number".
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// KeyedRecord is a record of a keyed topic. The newest record of each key is
// kept for good.
type KeyedRecord struct {
	Key string
	// Value is empty if the record drops its key.
	Value []byte
	// Offset is given by the log; appends leave it 0.
	Offset int64
}

// KeyedPage is the answer to a read.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is where reading goes on.
	Next int64
	// First is the oldest offset still kept, End the offset that the next
	// record will get.
	First, End int64
}

// AnyEnd appends wherever the partition ends.
const AnyEnd int64 = -1

// KeyedLog is a log whose topics keep the newest record of each key. Its
// answers are linearizable; an answer that is lost says nothing about the
// effect, which may come seconds later if its condition still holds.
type KeyedLog interface {
	// Append adds all records or none and returns the end after them. With an
	// end other than AnyEnd it does so only if the partition ends there, and
	// gives *MovedError otherwise.
	Append(ctx context.Context, p Partition, records []KeyedRecord, end int64) (int64, error)
	// Read returns records from an offset on and waits up to wait for one.
	// ErrTrimmed says that the offset has left retention.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Later changes are read
	// from the End that it returns; some of them may show already.
	Newest(ctx context.Context, p Partition) (KeyedPage, error)
}

// Member is one instance's part in a group that divides partitions.
type Member struct {
	Group  string
	Name   string
	Topics []string
	// SessionTimeout is the silence after which the member's partitions go to others.
	SessionTimeout time.Duration
	// Generation is the last one that this member was told, 0 at first.
	Generation int64
}

// Assignment is what a group's member holds.
type Assignment struct {
	Generation int64
	Partitions []Partition
}

// Owner is the member that holds a partition.
type Owner struct {
	Partition Partition
	Member    string
}

// Groups divides the partitions of topics among the members of a group. A
// partition may be dealt anew at any time.
type Groups interface {
	// Join enters the group, or stays in it, and returns what the member holds.
	Join(ctx context.Context, m Member) (Assignment, error)
	// Leave gives up all partitions.
	Leave(ctx context.Context, m Member) error
}
