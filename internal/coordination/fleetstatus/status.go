// Package fleetstatus tells operators what each instance knows: which
// configuration is in force there, whether it sees the log, and which jobs are
// late.
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

// askWidth is the number of instances asked at the same time: 340 of them are
// asked in 11 rounds.
const askWidth = 32

// mostLate bounds the late jobs that a status lists.
const mostLate = 20

// Instance is what one instance says of itself.
type Instance struct {
	Instance protocol.InstanceID `json:"instance"`
	Domain   protocol.Domain     `json:"domain"`
	// Session is zero while the instance has none.
	Session string `json:"session"`
	// Version is the configuration in force there.
	Version protocol.Offset `json:"version"`
	// Applied is the last entry of the control stream that it replayed.
	Applied protocol.Offset `json:"applied"`
	// LogUp says that it reads the log to its end.
	LogUp bool `json:"log_up"`
	// MayHold says that it may do exclusive work.
	MayHold  bool `json:"may_hold"`
	Draining bool `json:"draining"`
	// UpSeconds is the time since the process started.
	UpSeconds int64 `json:"up_s"`
	// Trouble is a sentence while the instance can't go on, else empty.
	Trouble string `json:"trouble,omitempty"`
}

// LateJob is a running job that is past its deadline, or has little time left
// for what is not done.
type LateJob struct {
	Job          protocol.JobID          `json:"job"`
	Organisation protocol.OrganisationID `json:"organisation"`
	Deadline     time.Time               `json:"deadline"`
	ItemsLeft         int                     `json:"items_left"`
	Items        int                     `json:"items"`
}

// Status is the fleet as one instance could find out.
type Status struct {
	At time.Time `json:"at"`
	// CollectedBy is the instance that asked the others.
	CollectedBy     protocol.InstanceID `json:"asked"`
	Instances []Instance          `json:"instances"`
	// Unreached are known instances that did not answer.
	Unreached   []Unreached `json:"unreached"`
	JobsRunning int         `json:"jobs_running"`
	Late        []LateJob   `json:"late"`
}

// Unreached is a known instance that did not answer.
type Unreached struct {
	Instance protocol.InstanceID `json:"instance"`
	// SessionOpen tells an instance that died or was cut off just now from
	// one that has left, or was cut off for so long that its session ended.
	SessionOpen bool `json:"session_open"`
}

// NewestVersion is the highest version in force anywhere.
func (s Status) NewestVersion() protocol.Offset {
	newest := protocol.NoOffset
	for _, instance := range s.Instances {
		newest = max(newest, instance.Version)
	}
	return newest
}

// Source says what this instance knows of itself.
type Source struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
	Journal  coordination.Journal
	// Draining reports whether the instance is leaving; nil means never.
	Draining func() bool
	// Trouble gives a sentence while the journal can't go on; nil means none.
	Trouble func() string
	Now     func() time.Time
	Started time.Time
}

// Own is the status of this instance.
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

// Collector asks the others.
type Collector struct {
	Source      *Source
	Peers       coordination.Peers
	PeerTimeout time.Duration
	// LateWithin is the time left to its deadline at which an unfinished job
	// is listed.
	LateWithin time.Duration
}

// Status asks every known instance.
func (c *Collector) Status(ctx context.Context) Status {
	now := c.Source.Now()
	status := Status{At: now, CollectedBy: c.Source.Instance, Instances: []Instance{c.Source.Own()}, Late: []LateJob{}}
	question := fanout.Request{Method: MethodOwn, Args: Request{}, Timeout: c.PeerTimeout, Concurrency: askWidth}
	unreached := fanout.Call(ctx, c.Peers, question, func(_ protocol.InstanceID, answer Instance) error {
		status.Instances = append(status.Instances, answer)
		return nil
	})
	slices.SortFunc(status.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	c.unreached(unreached, &status)
	c.jobs(now, &status)
	return status
}

// unreached also counts instances that the log has a session of and that no
// heartbeat ever named here, such as those of a domain that was cut off before
// this instance started.
func (c *Collector) unreached(silent []protocol.InstanceID, status *Status) {
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
	for _, id := range silent {
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

func (c *Collector) jobs(now time.Time, status *Status) {
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
	if len(status.Late) > mostLate {
		status.Late = status.Late[:mostLate]
	}
}
