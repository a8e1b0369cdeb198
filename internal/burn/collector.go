package burn

import (
	"context"
	"slices"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fanout"
	"merlintiller/internal/protocol"
)

// collectWidth is the number of instances asked at the same time, so that a
// report over 340 of them holds few snapshots in memory at once.
const collectWidth = 8

// Collector makes the report of the whole fleet.
type Collector struct {
	Instance protocol.InstanceID
	Recorder *Recorder
	Peers    coordination.Peers
	Fleet    func() *protocol.Fleet
	Now      func() time.Time
	// PeerTimeout bounds the call to one instance.
	PeerTimeout time.Duration
}

// Report merges what this instance and all reachable ones recorded.
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

func (c *Collector) gather(ctx context.Context, request Request, merged *merger, report *Report) {
	question := fanout.Request{Method: MethodReport, Args: request, Timeout: c.PeerTimeout, Concurrency: collectWidth}
	report.Unreached = fanout.Call(ctx, c.Peers, question, func(from protocol.InstanceID, snapshot Snapshot) error {
		if err := merged.add(snapshot); err != nil {
			return err
		}
		report.Merged = append(report.Merged, from)
		return nil
	})
}
