package fleetview

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

// Decoders decode the records of operators and targets.
type Decoders struct {
	Config func(value []byte) (route.Config, error)
	// Drain returns the failure domain that a record with this key drains; ok is
	// false for other records.
	Drain  func(key string) (domain string, ok bool)
	Target func(id string, value []byte) (roster.Target, error)
}

// Sources names the partitions and keys of the store that a View reads.
type Sources struct {
	// Operators is the partition with the records of operators: the configuration
	// and the drains.
	Operators external.Partition
	// ConfigKey is the key of the configuration in the Operators partition.
	ConfigKey string
	// Targets is the partition with the entries of the targets.
	Targets external.Partition
}

// Options configure a View.
type Options struct {
	Log      external.KeyedLog
	Sources  Sources
	Decoders Decoders
	Logger   log.Logger
	// Seed determines the random parts of delays. It has to differ between instances.
	Seed uint64
	// OnConfig and OnTargets are called on each change, in order. They are called
	// with the View's lock held. mark is the offset in the store up to which the list has been
	// applied.
	OnConfig  func(*route.Table)
	OnTargets func(mark int64, list []roster.Target)
	// OnListed is called before OnTargets with all listed targets, also those that get no
	// new requests. Nil: not called.
	OnListed func([]roster.Target)
	// TargetsFromPeers reports whether other instances send the changes of the list
	// of targets, so that this instance need not read them. Nil: never.
	TargetsFromPeers func() bool
}

// View is an instance's view of the configuration in force, the targets and the
// drains. It is safe for concurrent use.
type View struct {
	opts   Options
	logger log.Logger
	table  atomic.Pointer[route.Table]

	mu sync.Mutex
	// rawConfig is the encoded configuration in force, for other instances.
	rawConfig []byte
	// configSince is when the configuration in force took effect in this instance.
	configSince time.Time
	roster      *roster.Roster
	// targetsKnown is set once the list of targets was read or received.
	targetsKnown bool
	// drains is the set of failure domains whose targets get no new requests.
	drains roster.Drains
	// drainEndedAt holds, by failure domain, when its last drain ended.
	drainEndedAt map[string]time.Time
	// rosterDigest is the digest of the list of targets.
	rosterDigest uint64
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	// currentAt is when the list of targets was last known to be current: the store answered, or
	// an instance with the same list that it answered. storeReturned is when that was so for
	// the first time after the last outage.
	currentAt, storeReturned time.Time
	// clock tells for how long this process did not run, stalledBefore until currentAt.
	clock         wait.RunClock
	stalledBefore time.Duration
	// targetsReadAt is when the list of targets was last read from the store.
	targetsReadAt time.Time
	// configChanged is closed and replaced when the configuration changes.
	configChanged chan struct{}
	// graceTimer fires when the next grace period of a target without an entry ends,
	// nil if no target is in a grace period.
	graceTimer *time.Timer
}

// New returns an empty View.
func New(opts Options) *View {
	v := &View{opts: opts, logger: opts.Logger, roster: roster.New(), drainEndedAt: map[string]time.Time{}, configChanged: make(chan struct{})}
	metrics.GetOrCreateGauge("config_version_in_force", func() float64 { return float64(v.Version()) })
	metrics.GetOrCreateGauge("config_age_seconds", func() float64 { return v.ConfigAge().Seconds() })
	metrics.GetOrCreateGauge("store_age_seconds", func() float64 { return v.StoreAge().Seconds() })
	metrics.GetOrCreateGauge("domains_drained", func() float64 { return float64(len(v.Drains().Domains)) })
	metrics.GetOrCreateGauge(`targets_listed{state="ready"}`, func() float64 { return float64(v.countTargets(false)) })
	metrics.GetOrCreateGauge(`targets_listed{state="leaving"}`, func() float64 { return float64(v.countTargets(true)) })
	return v
}

// Table returns the configuration in force, nil before the first one.
func (v *View) Table() *route.Table { return v.table.Load() }

// Version returns the version of the configuration in force, 0 before the first one.
func (v *View) Version() int64 {
	if table := v.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// ConfigAge returns the time since the configuration in force took effect in this
// instance, 0 before the first one.
func (v *View) ConfigAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.configSince.IsZero() {
		return 0
	}
	return time.Since(v.configSince)
}

// Ready reports whether requests can be served: the configuration and the targets are
// known.
func (v *View) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targetsKnown && v.Table() != nil
}

// StoreAge returns the time since the store last answered, an hour if it never did.
func (v *View) StoreAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastAnswer.IsZero() {
		return time.Hour
	}
	return time.Since(v.lastAnswer)
}

// ListAge returns the time since the list of targets was known to be current: since it was
// read or, if other instances send it, since the store last answered. A pause of the process
// or of its machine counts.
func (v *View) ListAge() time.Duration {
	fromPeers := v.targetsFromPeers()
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.targetsReadAt
	if fromPeers {
		at = v.lastAnswer
	}
	if at.IsZero() {
		return time.Hour
	}
	now := time.Now()
	// The monotonic clock stands still while the machine is suspended.
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// RosterMark returns the offset in the store up to which the list of targets has been
// applied.
func (v *View) RosterMark() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.Mark()
}

// RosterDigest returns a digest of the list of targets. Instances exchange it to detect
// that their lists differ.
func (v *View) RosterDigest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rosterDigest
}

// ConfigChanged returns a channel that is closed at the next change of the
// configuration.
func (v *View) ConfigChanged() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configChanged
}

// AdoptConfig puts a configuration in force if it is newer than the current one. from is
// its source, for the log.
func (v *View) AdoptConfig(raw []byte, from string) {
	config, err := v.opts.Decoders.Config(raw)
	if err != nil {
		_ = level.Error(v.logger).Log("event", "config_unreadable", "from", from, "err", err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.Table() != nil && config.Version <= v.Version() {
		return
	}
	before := v.Version()
	table := route.NewTable(config)
	v.table.Store(table)
	v.rawConfig, v.configSince = raw, time.Now()
	close(v.configChanged)
	v.configChanged = make(chan struct{})
	_ = level.Info(v.logger).Log("event", "config_in_force", "version", config.Version, "before", before, "from", from,
		"routes", len(config.Routes), "organisations", len(config.Organisations))
	v.opts.OnConfig(table)
	if v.targetsKnown {
		v.publishTargets()
	}
}

// ConfigNewerThan returns the encoded configuration in force if it is newer than a
// version, otherwise nil.
func (v *View) ConfigNewerThan(version int64) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.Version() <= version {
		return nil
	}
	return v.rawConfig
}
