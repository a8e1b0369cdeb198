package burn

import (
	"context"
	"slices"
	"sync"
	"time"

	"merlintiller/internal/coordination"
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
	report := Report{At: c.Now(), Merged: []protocol.InstanceID{c.Instance}, Unreached: []protocol.InstanceID{}}
	c.gather(ctx, request, merged, &report)
	slices.Sort(report.Merged)
	slices.Sort(report.Unreached)
	report.Lines = merged.lines(c.Fleet())
	return report, nil
}

func (c *Collector) gather(ctx context.Context, request Request, merged *merger, report *Report) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	places := make(chan struct{}, collectWidth)
	for _, peer := range c.Peers.List() {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			snapshot, err := c.ask(ctx, peer.Instance, request)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = merged.add(snapshot)
			}
			if err != nil {
				report.Unreached = append(report.Unreached, peer.Instance)
				return
			}
			report.Merged = append(report.Merged, peer.Instance)
		})
	}
	wait.Wait()
}

func (c *Collector) ask(ctx context.Context, to protocol.InstanceID, request Request) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.PeerTimeout)
	defer cancel()
	var snapshot Snapshot
	err := c.Peers.Call(ctx, to, MethodReport, request, &snapshot)
	return snapshot, err
}
