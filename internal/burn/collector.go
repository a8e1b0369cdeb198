package burn

import (
	"context"
	"slices"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fanout"
	"merlintiller/internal/protocol"
)

// maxConcurrentCalls bounds the number of simultaneous calls to other instances, so that
// a report over 340 instances holds few snapshots in memory at the same time.
const maxConcurrentCalls = 8

// Collector creates the report of the whole fleet.
type Collector struct {
	Instance protocol.InstanceID
	Recorder *Recorder
	Peers    coordination.Peers
	Fleet    func() *protocol.Fleet
	Now      func() time.Time
	// PeerTimeout bounds the call to one instance.
	PeerTimeout time.Duration
}

// Report merges the records of this instance and of all reachable instances.
func (c *Collector) Report(ctx context.Context, request Request) (Report, error) {
	own, err := c.Recorder.Snapshot(request)
	if err != nil {
		return Report{}, err
	}
	merged := newMerger()
	if err := merged.add(own); err != nil {
		return Report{}, err
	}
	report := Report{At: c.Now(), Merged: []protocol.InstanceID{c.Instance}}
	c.gather(ctx, request, merged, &report)
	slices.Sort(report.Merged)
	report.Lines = merged.lines(c.Fleet())
	return report, nil
}

// gather adds the snapshots of the other instances and lists the unreachable ones.
func (c *Collector) gather(ctx context.Context, request Request, merged *merger, report *Report) {
	call := fanout.Request{Method: MethodReport, Args: request, Timeout: c.PeerTimeout, Concurrency: maxConcurrentCalls}
	report.Unreached = fanout.Call(ctx, c.Peers, call, func(from protocol.InstanceID, snapshot Snapshot) error {
		if err := merged.add(snapshot); err != nil {
			return err
		}
		report.Merged = append(report.Merged, from)
		return nil
	})
}
