// Package fleetstatus collects a status report of the fleet for operators: which
// configuration is in force at each instance, whether the instance can read the log,
// and which jobs are late.
package fleetstatus

import (
	"cmp"
	"context"
	"slices"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fanout"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// maxConcurrentCalls is the number of instances called at the same time. With 32,
// 340 instances take 11 rounds.
const maxConcurrentCalls = 32

// maxLateJobs limits the late jobs in a status.
const maxLateJobs = 20

// Instance is the status that an instance reports about itself.
type Instance struct {
	Instance protocol.InstanceID `json:"instance"`
	Domain   protocol.Domain     `json:"domain"`
	// Session is the instance's session, zero while it has none.
	Session string `json:"session"`
	// Version is the version of the configuration in force at the instance.
	Version protocol.Offset `json:"version"`
	// Applied is the offset of the last entry of the control stream that the
	// instance replayed.
	Applied protocol.Offset `json:"applied"`
	// LogUp reports whether the instance can read the log to its end.
	LogUp bool `json:"log_up"`
	// MayHold reports whether the instance may do exclusive work.
	MayHold bool `json:"may_hold"`
	// Draining reports whether the instance is shutting down.
	Draining bool `json:"draining"`
	// UpSeconds is the time since the process started.
	UpSeconds int64 `json:"up_s"`
	// Trouble describes why the instance can't continue, empty if it can.
	Trouble string `json:"trouble,omitempty"`
}

// LateJob is a running job that is past its deadline or close to it.
type LateJob struct {
	Job          protocol.JobID          `json:"job"`
	Organisation protocol.OrganisationID `json:"organisation"`
	Deadline     time.Time               `json:"deadline"`
	ItemsLeft    int                     `json:"items_left"`
	Items        int                     `json:"items"`
}

// Status is the status of the fleet, as collected by one instance.
type Status struct {
	// At is the time of the collection, by the clock of CollectedBy.
	At time.Time `json:"at"`
	// CollectedBy is the instance that called the others.
	CollectedBy protocol.InstanceID `json:"asked"`
	Instances   []Instance          `json:"instances"`
	// Unreached holds the known instances that did not answer, sorted by name.
	Unreached   []Unreached `json:"unreached"`
	JobsRunning int         `json:"jobs_running"`
	Late        []LateJob   `json:"late"`
}

// Unreached is a known instance that did not answer.
type Unreached struct {
	Instance protocol.InstanceID `json:"instance"`
	// SessionOpen reports whether the instance's session is open. If so, the
	// instance terminated or became isolated within the session timeout. If not, it
	// was shut down, or was isolated for so long that its session ended.
	SessionOpen bool `json:"session_open"`
}

// NewestVersion returns the highest configuration version in force at any instance.
func (s Status) NewestVersion() protocol.Offset {
	newest := protocol.NoOffset
	for _, instance := range s.Instances {
		newest = max(newest, instance.Version)
	}
	return newest
}

// Source provides the status of this instance.
type Source struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	Journal  coordination.Journal
	// Draining reports whether the instance is shutting down; nil means never.
	Draining func() bool
	// Trouble describes why the journal can't continue, empty if it can; nil means
	// that it always can.
	Trouble func() string
	Now     func() time.Time
	Started time.Time
}

// Own returns the status of this instance.
func (s *Source) Own() Instance {
	own := Instance{
		Instance:  s.Instance,
		Domain:    s.Domain,
		Session:   s.Journal.Session().String(),
		Version:   s.Journal.Fleet().Version,
		LogUp:     s.Journal.LogUp(),
		MayHold:   s.Journal.MayHold(),
		UpSeconds: int64(s.Now().Sub(s.Started) / time.Second),
	}
	s.Journal.View(func(state *replica.State) { own.Applied = state.Applied() })
	if s.Draining != nil {
		own.Draining = s.Draining()
	}
	if s.Trouble != nil {
		own.Trouble = s.Trouble()
	}
	return own
}

// Collector collects the status of all instances.
type Collector struct {
	Source *Source
	Peers  coordination.Peers
	// PeerTimeout bounds the call to one instance.
	PeerTimeout time.Duration
	// LateWithin is the remaining time to its deadline below which a running job
	// counts as late.
	LateWithin time.Duration
}

// Status calls every known instance and returns the status of the fleet.
func (c *Collector) Status(ctx context.Context) Status {
	now := c.Source.Now()
	status := Status{At: now, CollectedBy: c.Source.Instance, Instances: []Instance{c.Source.Own()}, Late: []LateJob{}}
	request := fanout.Request{Method: MethodOwn, Args: Request{}, Timeout: c.PeerTimeout, Concurrency: maxConcurrentCalls}
	unreached := fanout.Call(ctx, c.Peers, request, func(_ protocol.InstanceID, reply Instance) error {
		status.Instances = append(status.Instances, reply)
		return nil
	})
	slices.SortFunc(status.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	c.addUnreached(unreached, &status)
	c.addJobs(now, &status)
	return status
}

// addUnreached adds the instances that did not answer to the status. It also adds
// instances that have an open session and that this instance doesn't know from
// heartbeats, for example those of a domain that was isolated before this instance
// started.
func (c *Collector) addUnreached(failed []protocol.InstanceID, status *Status) {
	open := map[protocol.InstanceID]bool{}
	c.Source.Journal.View(func(state *replica.State) {
		for _, info := range state.Sessions.All() {
			open[info.Instance] = true
		}
	})
	missing := map[protocol.InstanceID]bool{}
	for id := range open {
		missing[id] = true
	}
	for _, id := range failed {
		missing[id] = true
	}
	for _, instance := range status.Instances {
		delete(missing, instance.Instance)
	}
	status.Unreached = make([]Unreached, 0, len(missing))
	for id := range missing {
		status.Unreached = append(status.Unreached, Unreached{Instance: id, SessionOpen: open[id]})
	}
	slices.SortFunc(status.Unreached, func(a, b Unreached) int { return cmp.Compare(a.Instance, b.Instance) })
}

// addJobs adds the number of running jobs and the late jobs with the earliest
// deadlines to the status.
func (c *Collector) addJobs(now time.Time, status *Status) {
	c.Source.Journal.View(func(state *replica.State) {
		for _, job := range state.Ledger.Running() {
			status.JobsRunning++
			if job.Deadline.Sub(now) > c.LateWithin {
				continue
			}
			status.Late = append(status.Late, LateJob{
				Job: job.ID, Organisation: job.Organisation, Deadline: job.Deadline,
				ItemsLeft: job.Total - job.Completed - job.Failed, Items: job.Total,
			})
		}
	})
	slices.SortFunc(status.Late, func(a, b LateJob) int { return a.Deadline.Compare(b.Deadline) })
	if len(status.Late) > maxLateJobs {
		status.Late = status.Late[:maxLateJobs]
	}
}
