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
	"merlintiller/internal/wait"
)

const (
	// returnGrace is how long after the end of a store outage targets without an
	// entry are used. Running targets register about once a second and are listed
	// again within two. A target that left at the end of the outage must get no
	// request two seconds after its entry was removed. The remaining half a second
	// covers the retry delay until the end of the outage is noticed and the few
	// milliseconds that a placed request takes to reach its target.
	returnGrace = 1500 * time.Millisecond
	// returnWindow is how long after the end of a store outage missing entries are
	// attributed to the outage.
	returnWindow = time.Second
	// outageThreshold is the time without an answer of the store that counts as an
	// outage: one read with its wait, and one lost read.
	outageThreshold = 2500 * time.Millisecond
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

// countTargets returns the number of listed targets that are leaving or not leaving.
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

// StoreAnswered records that the store answered a call.
func (v *View) StoreAnswered() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.lastAnswer.IsZero() && now.Sub(v.lastAnswer) > outageThreshold {
		_ = level.Info(v.logger).Log("event", "store_back", "away_ms", now.Sub(v.lastAnswer).Milliseconds())
	}
	v.lastAnswer = now
	v.markCurrent(now)
}

// ListConfirmed records that another instance has a list with a digest which was known to be current
// an age ago. age is 0 if the instance does not tell.
//
// Without this, an instance that alone is rejected by the store would take a target that has left for
// one whose entry lapsed in an outage, and use it for another returnGrace.
func (v *View) ListConfirmed(digest uint64, age time.Duration) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if age > 0 && v.targetsKnown && digest == v.rosterDigest {
		v.markCurrent(now.Add(-age))
	}
}

// ListConfirmedAge returns the time since the list of targets was last known to be current, 0 if it never was.
func (v *View) ListConfirmedAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.currentAt.IsZero() || !v.targetsKnown {
		return 0
	}
	return max(time.Since(v.currentAt), 1)
}

// markCurrent records that the list of targets was current at a time. The caller must hold v.mu.
func (v *View) markCurrent(at time.Time) {
	if !at.After(v.currentAt) {
		return
	}
	if v.isOutage(at) {
		v.storeReturned = at
	}
	v.currentAt, v.stalledBefore = at, v.clock.StalledUntil(at)
}

// isOutage reports whether the list of targets has been known to be current, and not been so for longer than
// a lost read explains. A pause of this process does not count. The caller must hold v.mu.
func (v *View) isOutage(now time.Time) bool {
	if v.currentAt.IsZero() {
		return false
	}
	stalled := v.clock.StalledUntil(now) - v.stalledBefore
	return now.Sub(v.currentAt)-stalled > outageThreshold
}

// tick records that this process runs.
func (v *View) tick() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clock.Tick(now, tickInterval)
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

// digestedTarget has the fields of roster.Target that are part of the digest of a list,
// and those that earlier releases digest with their zero values. Its field names, their
// order and their types must stay as they are: lists of different releases would differ
// otherwise, and instances would fetch them from each other again and again.
type digestedTarget struct {
	ID, Service, Address, Domain string
	Slots                        int
	Leaving                      bool
	Started                      int64
	WarmUp                       time.Duration
	Warming                      struct {
		Until   time.Time
		Assumed bool
		Lasts   time.Duration
		Rate    float64
	}
	HealthPath string
}

// digestOf returns the digest of a list. It leaves out the fields that change whenever
// an entry is renewed.
func digestOf(list []roster.Target) uint64 {
	digest := xxhash.New()
	for _, t := range list {
		_, _ = fmt.Fprintf(digest, "%+v\n", digestedTarget{
			ID: t.ID, Service: t.Service, Address: t.Address, Domain: t.Domain,
			Slots: t.Slots, Leaving: t.Leaving, Started: t.Started,
		})
	}
	return digest.Sum64()
}

// targetsFromPeers reports whether reading the list of targets can be suspended: it is
// known, and other instances send its changes. Instances of releases that do not know the
// versions of targets leave them out; the list is then read for its versions.
func (v *View) targetsFromPeers() bool {
	if v.opts.TargetsFromPeers == nil || !v.opts.TargetsFromPeers() {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targetsKnown && !v.roster.HasUnknownVersion()
}

// ConfigChanged returns a channel that is closed at the next change of the
// configuration.
func (v *View) ConfigChanged() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configChanged
}

// graceUntil returns until when targets are used whose entries disappear now, zero if
// they are not used any more.
//
// After a network partition an instance may receive the list from another instance
// before the store answers it. The entries that the list lacks expired during the
// partition. If their targets were not used, the instances of a failure domain that was
// isolated would stop using their own targets until these register again, a second
// later, and would send all requests to the other domains.
func (v *View) graceUntil(now time.Time) time.Time {
	switch {
	case v.isOutage(now):
		return now.Add(returnGrace)
	case !v.storeReturned.IsZero() && now.Sub(v.storeReturned) < returnWindow:
		return v.storeReturned.Add(returnGrace)
	default:
		return time.Time{}
	}
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

// TargetsNewerThan returns the list of targets and its mark if that is larger than the
// given one.
func (v *View) TargetsNewerThan(mark int64) ([]roster.Target, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.targetsKnown || v.roster.Mark() <= mark {
		return nil, 0, false
	}
	return withRemainingWarmUp(time.Now(), v.roster.All()), v.roster.Mark(), true
}

// Targets returns the listed targets, and the mark of the list.
func (v *View) Targets() ([]roster.Target, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.All(), v.roster.Mark()
}

// AdoptTargets replaces the list of targets by a full list as of a mark, unless the
// current one is newer.
// from is its source, for the log.
func (v *View) AdoptTargets(list []roster.Target, mark int64, from string) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.roster.All()
	if v.roster.Replace(mark, withWarmUpEnd(now, list), v.graceUntil(now)) {
		v.targetsKnown = true
		v.logDepartures(before, from)
		v.publishTargets()
	}
}

// logDepartures logs which targets of an earlier list are leaving now, or are not listed any more.
// The caller must hold v.mu.
func (v *View) logDepartures(before []roster.Target, from string) {
	now := map[string]roster.Target{}
	for _, t := range v.roster.All() {
		now[t.ID] = t
	}
	for _, t := range before {
		current, listed := now[t.ID]
		switch {
		case !listed:
			_ = level.Info(v.logger).Log("event", "target_unlisted", "target", t.ID, "from", from, "list_mark", v.roster.Mark())
		case current.Leaving && !t.Leaving:
			_ = level.Info(v.logger).Log("event", "target_leaving", "target", t.ID, "from", from, "list_mark", v.roster.Mark())
		}
	}
}

// publishTargets passes the targets that may be used now to OnTargets. It does so again
// when the next grace period ends, because the next read of the list may come a second
// later. The caller must hold v.mu.
func (v *View) publishTargets() {
	now := time.Now()
	v.rosterDigest = digestOf(v.roster.All())
	if v.opts.OnListed != nil {
		v.opts.OnListed(v.roster.All())
	}
	v.opts.OnTargets(v.roster.Mark(), v.availableTargets(now))
	if v.graceTimer != nil {
		v.graceTimer.Stop()
		v.graceTimer = nil
	}
	if end := v.roster.NextExpiry(); !end.IsZero() {
		v.graceTimer = time.AfterFunc(end.Sub(now), v.onGraceEnd)
	}
}

// onGraceEnd publishes the targets after a grace period ended.
func (v *View) onGraceEnd() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publishTargets()
}

// loadTargets adopts the full list that was read from the store.
func (v *View) loadTargets(page external.KeyedPage) {
	list := make([]roster.Target, 0, len(page.Records))
	for _, record := range page.Records {
		if t, ok := v.decodeTarget(record); ok {
			list = append(list, t)
		}
	}
	v.markTargetsRead()
	v.AdoptTargets(list, page.End, "store")
}

// markTargetsRead records that the list of targets was read from the store.
func (v *View) markTargetsRead() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targetsReadAt = time.Now()
}

// applyTargets applies changes of the list that were read from the store.
func (v *View) applyTargets(page external.KeyedPage) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targetsReadAt = now
	before := v.roster.All()
	for _, record := range page.Records {
		if len(record.Value) == 0 {
			v.roster.Remove(record.Offset, record.Key, v.graceUntil(now))
			continue
		}
		if t, ok := v.decodeTarget(record); ok {
			v.roster.Put(record.Offset, withWarmUpEnd(now, []roster.Target{t})[0])
		} else {
			v.roster.Invalidate(record.Offset, record.Key)
		}
	}
	v.logDepartures(before, "store")
	v.publishTargets()
}

// decodeTarget decodes a target's entry. It logs an entry that cannot be decoded and
// returns false for it.
func (v *View) decodeTarget(record external.KeyedRecord) (roster.Target, bool) {
	t, err := v.opts.Decoders.Target(record.Key, record.Value)
	if err != nil {
		_ = level.Warn(v.logger).Log("event", "target_entry_unreadable", "target", record.Key, "offset", record.Offset, "err", err)
		return roster.Target{}, false
	}
	return t, true
}
