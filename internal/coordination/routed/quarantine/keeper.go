package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// keptReadInterval is the mean interval between two reads of the closed parts in the store.
	// Heartbeats bring them sooner; the store brings them past instances of an earlier release.
	keptReadInterval = 10 * time.Second
	// keptRetryDelay is the mean delay after a failed call of the store. It doubles with each
	// further failure, up to keptReadInterval.
	keptRetryDelay = 500 * time.Millisecond
)

// Store is the part of the platform's store that keeps closed parts.
type Store interface {
	Append(ctx context.Context, p external.Partition, records []external.KeyedRecord, end int64) (int64, error)
	Newest(ctx context.Context, p external.Partition) (external.KeyedPage, error)
}

// keptClosure is a closure in the store, with times by the clock of the instance that wrote it, in
// Unix milliseconds.
type keptClosure struct {
	Parts     []string `cbor:"1,keyasint"`
	Crashes   int      `cbor:"2,keyasint,omitempty"`
	Targets   []string `cbor:"3,keyasint,omitempty"`
	SeenBy    []string `cbor:"4,keyasint,omitempty"`
	ClosedAt  int64    `cbor:"5,keyasint"`
	CrashedAt int64    `cbor:"6,keyasint"`
	Trials    int      `cbor:"7,keyasint,omitempty"`
}

// storeKey is the key of a closure in the store. Keys are short, and parts may be long.
func storeKey(parts []string) string {
	return strconv.FormatUint(xxhash.Sum64String(keyOf(parts)), 16)
}

// Keeper reads and writes the closed parts in the store. It is a background service.
type Keeper struct {
	guard  *Guard
	random *rand.Rand
	// loaded is set once the store was read.
	loaded atomic.Bool
	// wake is signalled when a write is pending, or the first read is due.
	wake chan struct{}
	// pending holds the closures to be written, by their keys. The lock of the guard guards it.
	pending map[string]Closure
	// pendingEnds holds the keys of the requests whose ended targets are to be written. It is guarded
	// in the same way.
	pendingEnds map[string]bool
}

func newKeeper(g *Guard) *Keeper {
	return &Keeper{guard: g, random: rand.New(rand.NewPCG(g.opts.Seed, 4)), wake: make(chan struct{}, 1), pending: map[string]Closure{}, pendingEnds: map[string]bool{}}
}

// Keeper returns the background service that reads and writes the store.
func (g *Guard) Keeper() *Keeper { return g.keeper }

// save makes the keeper write a closure, or remove one that is open. The caller holds the lock of
// the guard.
func (k *Keeper) save(c Closure) {
	if c.Suspended && !c.Opened {
		// The trial decides within seconds.
		return
	}
	k.pending[storeKey(c.Parts)] = c
	signal(k.wake)
}

// StoreAnswers records that the store has just answered this instance. If the closed parts were
// not read yet, they are read at once: requests are served from now on.
func (k *Keeper) StoreAnswers() {
	if !k.loaded.Load() {
		signal(k.wake)
	}
}

// String returns the name of the background service.
func (k *Keeper) String() string { return "quarantine-keeper" }

// Serve reads the store now and again, and writes what was closed or opened, until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	readAt, retry := time.Now(), keptRetryDelay
	for ctx.Err() == nil {
		err := k.write(ctx)
		if err == nil && (!k.loaded.Load() || !time.Now().Before(readAt)) {
			err = k.read(ctx)
			readAt = time.Now().Add(wait.Jitter(k.random, keptReadInterval))
		}
		if err != nil && ctx.Err() == nil {
			_ = level.Warn(k.guard.opts.Logger).Log("event", "closed_parts_store_failed", "err", err)
			readAt = time.Now()
			k.await(ctx, wait.Jitter(k.random, retry))
			retry = min(2*retry, keptReadInterval)
			continue
		}
		retry = keptRetryDelay
		k.await(ctx, time.Until(readAt))
	}
	return ctx.Err()
}

// await waits for some time or until a write is pending.
func (k *Keeper) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// write writes what is pending.
func (k *Keeper) write(ctx context.Context) error {
	k.guard.mu.Lock()
	records, written, err := k.pendingRecords(time.Now())
	ends := k.pendingEnds
	k.pendingEnds = map[string]bool{}
	k.guard.mu.Unlock()
	if err != nil || len(records) == 0 {
		return err
	}
	_, err = k.guard.opts.Store.Append(ctx, k.guard.opts.Partition, records, external.AnyEnd)
	k.guard.mu.Lock()
	defer k.guard.mu.Unlock()
	if err != nil {
		maps.Copy(k.pendingEnds, ends)
		return err
	}
	for key, c := range written {
		if k.pending[key].Opened == c.Opened {
			delete(k.pending, key)
		}
	}
	return nil
}

// pendingRecords returns the records to be written, and the closures among them. The caller holds the lock
// of the guard.
func (k *Keeper) pendingRecords(now time.Time) (records []external.KeyedRecord, written map[string]Closure, err error) {
	if records, err = k.pendingEndRecords(now); err != nil {
		return nil, nil, err
	}
	written = map[string]Closure{}
	for key, c := range k.pending {
		record := external.KeyedRecord{Key: key}
		if !c.Opened {
			if record.Value, err = cbor.Marshal(kept(now, &c)); err != nil {
				return nil, nil, err
			}
		}
		records, written[key] = append(records, record), c
	}
	return records, written, nil
}

func kept(now time.Time, c *Closure) keptClosure {
	return keptClosure{
		Parts: c.Parts, Crashes: c.Crashes, Targets: c.Targets, SeenBy: c.SeenBy, Trials: c.Trials,
		ClosedAt: now.Add(-c.ClosedAge).UnixMilli(), CrashedAt: now.Add(-c.LastCrashAge).UnixMilli(),
	}
}

// read reads the closed parts in the store, adopts those that are not known here, and writes what
// is missing there.
func (k *Keeper) read(ctx context.Context) error {
	page, err := k.guard.opts.Store.Newest(ctx, k.guard.opts.Partition)
	if err != nil {
		return err
	}
	k.loaded.Store(true)
	now := time.Now()
	stored := map[string]Closure{}
	var ends []keptEnds
	for _, record := range page.Records {
		if strings.HasPrefix(record.Key, endsKeyPrefix) {
			if kept, ok := k.decodeEnds(&record); ok {
				ends = append(ends, kept)
			}
			continue
		}
		var c keptClosure
		if err := protocol.UnmarshalOpaque(record.Value, &c); err != nil || len(c.Parts) == 0 {
			_ = level.Warn(k.guard.opts.Logger).Log("event", "closed_parts_unreadable", "key", record.Key, "err", err)
			continue
		}
		stored[record.Key] = c.closure(now)
	}
	k.guard.reconcile(now, stored, ends)
	return nil
}

// closure returns the closure as of now. The clock of the instance that wrote it may differ.
func (c *keptClosure) closure(now time.Time) Closure {
	return Closure{
		Parts: bounded(c.Parts), Crashes: c.Crashes, Targets: c.Targets, SeenBy: c.SeenBy, Trials: c.Trials,
		ClosedAge: max(0, now.Sub(time.UnixMilli(c.ClosedAt))), LastCrashAge: max(0, now.Sub(time.UnixMilli(c.CrashedAt))),
	}
}

// reconcile adopts the closures in the store that are not known here, removes those that are
// open or forgotten, and writes those that are missing.
func (g *Guard) reconcile(now time.Time, stored map[string]Closure, ends []keptEnds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconcileEnds(now, ends)
	for _, c := range stored {
		if known := g.evidence.closures.all[keyOf(c.Parts)]; known != nil && !known.closed() || c.LastCrashAge > closureTTL {
			c.Opened = true
			g.keeper.save(c)
			continue
		}
		if g.evidence.Adopt(now, &c) {
			g.anyClosed.Store(true)
			g.logClosed("store", &c)
		}
	}
	for _, c := range g.evidence.Closures(now) {
		if _, found := stored[storeKey(c.Parts)]; !found {
			g.keeper.save(c)
		}
	}
}
