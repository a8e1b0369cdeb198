package fleetview

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
)

const (
	// lapseGrace is how long after the store's return targets are used whose
	// entries vanished. Living targets register about once a second and are back
	// within two; a target that left at the return wants no request two seconds
	// after its entry went. The return is noticed up to a retry later, and a
	// request that is placed takes a few milliseconds to arrive: half a second
	// is left for both.
	lapseGrace = 1500 * time.Millisecond
	// outageMemory is how long after the store's return entries may still
	// vanish because of its absence.
	outageMemory = time.Second
	// outageAfter is the time without an answer that counts as the store being
	// away: one read with its wait, and one lost.
	outageAfter = 2500 * time.Millisecond
)

// Decoders read what operators and targets wrote.
type Decoders struct {
	Config func(value []byte) (route.Config, error)
	// Drain gives the failure domain that a key of what operators write drains.
	Drain  func(key string) (domain string, ok bool)
	Target func(id string, value []byte) (roster.Target, error)
}

// Sources says where in the store things stand.
type Sources struct {
	Operators external.Partition
	// ConfigKey is the key of the configuration among what operators write.
	ConfigKey string
	Targets   external.Partition
}

// Options make a View.
type Options struct {
	Log      external.KeyedLog
	Sources  Sources
	Decoders Decoders
	Logger   log.Logger
	// OnConfig and OnTargets are told of each change, in order.
	OnConfig  func(*route.Table)
	OnTargets func([]roster.Target)
	// TargetsFromPeers says that other instances tell of the list of targets. Nil: never.
	TargetsFromPeers func() bool
}

// View is what the instance knows. It is safe for concurrent use.
type View struct {
	opts   Options
	logger log.Logger
	table  atomic.Pointer[route.Table]

	mu sync.Mutex
	// raw is the configuration in force as operators wrote it, for others.
	raw []byte
	// since is when it took effect here.
	since  time.Time
	roster *roster.Roster
	// listed says that the list of targets was read at least once.
	listed bool
	// drains are the failure domains that get nothing new, undrained when a drain ended.
	drains    roster.Drains
	undrained map[string]time.Time
	// digest sums up the list.
	digest uint64
	// answered is when the store answered last, back when it did so again
	// after an outage.
	answered, back time.Time
	changed        chan struct{}
	// graceEnd runs when the next target without an entry is to be left.
	graceEnd *time.Timer
}

// New returns a view that knows nothing.
func New(opts Options) *View {
	v := &View{opts: opts, logger: opts.Logger, roster: roster.New(), undrained: map[string]time.Time{}, changed: make(chan struct{})}
	metrics.GetOrCreateGauge("config_version_in_force", func() float64 { return float64(v.Version()) })
	metrics.GetOrCreateGauge("config_age_seconds", func() float64 { return v.ConfigAge().Seconds() })
	metrics.GetOrCreateGauge("store_age_seconds", func() float64 { return v.StoreAge().Seconds() })
	metrics.GetOrCreateGauge("domains_drained", func() float64 { return float64(len(v.Drains().Domains)) })
	metrics.GetOrCreateGauge(`targets_listed{state="ready"}`, func() float64 { return float64(v.countTargets(false)) })
	metrics.GetOrCreateGauge(`targets_listed{state="leaving"}`, func() float64 { return float64(v.countTargets(true)) })
	return v
}

// Table is the configuration in force, nil before the first one.
func (v *View) Table() *route.Table { return v.table.Load() }

// Version is that of the configuration in force, 0 before the first one.
func (v *View) Version() int64 {
	if table := v.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// ConfigAge is the time since the configuration in force took effect here, 0
// before the first one.
func (v *View) ConfigAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since.IsZero() {
		return 0
	}
	return time.Since(v.since)
}

// countTargets counts the targets that are listed as leaving, or as not.
func (v *View) countTargets(leaving bool) (count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.roster.All() {
		if t.Leaving == leaving {
			count++
		}
	}
	return count
}

// Ready says that requests can be served: the configuration and the targets are
// known.
func (v *View) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.Table() != nil
}

// StoreAge is the time since the store answered.
func (v *View) StoreAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.answered.IsZero() {
		return time.Hour
	}
	return time.Since(v.answered)
}

// StoreAnswered notes that the store answered a call.
func (v *View) StoreAnswered() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.answered.IsZero() && now.Sub(v.answered) > outageAfter {
		v.back = now
		_ = level.Info(v.logger).Log("event", "store_back", "away_ms", now.Sub(v.answered).Milliseconds())
	}
	v.answered = now
}

// RosterMark is how far the list of targets was read.
func (v *View) RosterMark() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.Mark()
}

// RosterDigest sums up the list of targets, so that two instances whose lists differ notice.
func (v *View) RosterDigest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// digestOf leaves out what changes with each renewal of an entry.
func digestOf(list []roster.Target) uint64 {
	digest := xxhash.New()
	for _, t := range list {
		t.WarmUp, t.Warming, t.HealthPath = 0, roster.Warming{}, ""
		_, _ = fmt.Fprintf(digest, "%+v\n", t)
	}
	return digest.Sum64()
}

// follows says that nothing need be read of the targets: the list was read once, and
// other instances tell what changes.
func (v *View) follows() bool {
	if v.opts.TargetsFromPeers == nil || !v.opts.TargetsFromPeers() {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// Changed is closed at the next change of the configuration.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// lapseUntil is until when targets are used whose entries vanish now.
//
// An instance that comes back from a cut hears another instance before it hears the
// store, and takes the list from it: entries that it lacks lapsed behind the cut. If
// they were taken for gone, the instances of that failure domain would leave their
// own targets until those register again, a second later, and send everything to
// the others.
func (v *View) lapseUntil(now time.Time) time.Time {
	switch {
	case !v.answered.IsZero() && now.Sub(v.answered) > outageAfter:
		return now.Add(lapseGrace)
	case !v.back.IsZero() && now.Sub(v.back) < outageMemory:
		return v.back.Add(lapseGrace)
	default:
		return time.Time{}
	}
}

// AdoptConfig takes over a configuration if it is newer than the one in force.
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
	v.raw, v.since = raw, time.Now()
	close(v.changed)
	v.changed = make(chan struct{})
	_ = level.Info(v.logger).Log("event", "config_in_force", "version", config.Version, "before", before, "from", from,
		"routes", len(config.Routes), "organisations", len(config.Organisations))
	v.opts.OnConfig(table)
	if v.listed {
		v.tellTargets()
	}
}

// ConfigNewerThan gives the configuration as operators wrote it if it is newer than a
// version.
func (v *View) ConfigNewerThan(than int64) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.Version() <= than {
		return nil
	}
	return v.raw
}

// TargetsNewerThan gives the list and how far it was read, if that is newer than a mark.
func (v *View) TargetsNewerThan(than int64) ([]roster.Target, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listed || v.roster.Mark() <= than {
		return nil, 0, false
	}
	return told(time.Now(), v.roster.All()), v.roster.Mark(), true
}

// AdoptTargets takes over a list that another instance read.
func (v *View) AdoptTargets(list []roster.Target, mark int64) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.roster.Replace(mark, heard(now, list), v.lapseUntil(now)) {
		v.listed = true
		v.tellTargets()
	}
}

// tellTargets needs the lock. It tells again when a target without an entry is
// no longer to be used: the next read of the list may come a second later.
func (v *View) tellTargets() {
	now := time.Now()
	v.digest = digestOf(v.roster.All())
	v.opts.OnTargets(v.offered(now))
	if v.graceEnd != nil {
		v.graceEnd.Stop()
		v.graceEnd = nil
	}
	if end := v.roster.NextExpiry(); !end.IsZero() {
		v.graceEnd = time.AfterFunc(end.Sub(now), v.endGrace)
	}
}

// endGrace tells of the targets whose time without an entry is over.
func (v *View) endGrace() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tellTargets()
}

// replaceTargets takes over the list as the store gave it.
func (v *View) replaceTargets(page external.KeyedPage) {
	list := make([]roster.Target, 0, len(page.Records))
	for _, record := range page.Records {
		if t, ok := v.decoded(record); ok {
			list = append(list, t)
		}
	}
	v.AdoptTargets(list, page.End)
}

// applyTargets takes over changes of the list.
func (v *View) applyTargets(page external.KeyedPage) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, record := range page.Records {
		if len(record.Value) == 0 {
			v.roster.Remove(record.Offset, record.Key, v.lapseUntil(now))
			_ = level.Info(v.logger).Log("event", "target_unlisted", "target", record.Key, "offset", record.Offset)
			continue
		}
		if t, ok := v.decoded(record); ok {
			v.roster.Put(record.Offset, heard(now, []roster.Target{t})[0])
		} else {
			v.roster.Invalidate(record.Offset, record.Key)
		}
	}
	v.tellTargets()
}

func (v *View) decoded(record external.KeyedRecord) (roster.Target, bool) {
	t, err := v.opts.Decoders.Target(record.Key, record.Value)
	if err != nil {
		_ = level.Warn(v.logger).Log("event", "target_entry_unreadable", "target", record.Key, "offset", record.Offset, "err", err)
		return roster.Target{}, false
	}
	return t, true
}
