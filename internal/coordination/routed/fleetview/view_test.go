package fleetview

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
	"merlintiller/internal/wait"
)

const (
	// leaveBound is how long after its entry went a target may get requests.
	leaveBound = 2 * time.Second
	// toArrive is the most that a placed request takes to its target here.
	toArrive = 100 * time.Millisecond
)

var errAway = errors.New("store away")

// listLog is a store that holds one list of targets and can be away.
type listLog struct {
	mu      sync.Mutex
	away    bool
	records []external.KeyedRecord
	changes []external.KeyedRecord
}

func (l *listLog) Append(context.Context, external.Partition, []external.KeyedRecord, int64) (int64, error) {
	return 0, errAway
}

func (l *listLog) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return external.KeyedPage{}, errAway
	}
	end := int64(len(l.changes))
	return external.KeyedPage{Records: slices.Clone(l.records), End: end, Next: end}, nil
}

func (l *listLog) Read(ctx context.Context, _ external.Partition, from int64, longest time.Duration) (external.KeyedPage, error) {
	if err := ctx.Err(); err != nil {
		return external.KeyedPage{}, err
	}
	page, err := l.after(from)
	if err == nil && page.Next == from {
		wait.For(ctx, longest)
		page.End = l.end()
	}
	return page, err
}

// after gives the changes from an offset on.
func (l *listLog) after(from int64) (external.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return external.KeyedPage{}, errAway
	}
	end := int64(len(l.changes))
	return external.KeyedPage{Records: slices.Clone(l.changes[min(from, end):]), Next: max(from, end), End: end}, nil
}

func (l *listLog) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
}

func (l *listLog) end() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.changes))
}

func (l *listLog) list(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := external.KeyedRecord{Key: id, Value: []byte(id), Offset: int64(len(l.changes))}
	l.changes = append(l.changes, record)
	l.records = append(l.records, record)
}

func (l *listLog) drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, external.KeyedRecord{Key: id, Offset: int64(len(l.changes))})
	l.records = slices.DeleteFunc(l.records, func(r external.KeyedRecord) bool { return r.Key == id })
}

// viewing is a view of a listLog, and what it last said of the targets.
type viewing struct {
	view *View

	mu   sync.Mutex
	told []string
}

// usable gives the targets that may be used.
func (v *viewing) usable() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.told
}

func viewOf(l *listLog) *viewing {
	out := &viewing{}
	out.view = New(Options{
		Log: l, Logger: log.NewNopLogger(),
		Decoders: Decoders{Target: func(id string, _ []byte) (roster.Target, error) { return roster.Target{ID: id}, nil }},
		OnConfig: func(*route.Table) {},
		OnTargets: func(targets []roster.Target) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.told = nil
			for _, t := range targets {
				out.told = append(out.told, t.ID)
			}
		},
	})
	return out
}

// watchTargets runs the watch of the targets until ctx ends.
func (v *viewing) watchTargets(ctx context.Context) {
	for _, duty := range v.view.BackgroundServices() {
		if w := duty.(*watch); w.name == "targets" {
			go func() { _ = w.Serve(ctx) }()
		}
	}
}

// A store's link to one instance is cut for seconds. At its end a target is
// taken out of the list without having said that it leaves. The instance notes
// the return a little later, and must not take the missing entry for one that
// the outage swallowed for longer than the target still serves; a caller's
// request would reach a target that is gone.
func TestTargetThatGoesAtTheStoresReturnIsLeftInTime(t *testing.T) {
	for _, noticed := range []time.Duration{0, 80 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &listLog{}
			store.list("stays")
			store.list("goes")
			v := viewOf(store)
			v.watchTargets(t.Context())
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, []string{"goes", "stays"}, v.usable())

			store.setAway(true)
			time.Sleep(7 * time.Second)
			store.setAway(false)
			store.drop("goes")
			time.Sleep(noticed)
			v.view.StoreAnswered()

			time.Sleep(leaveBound - toArrive - noticed)
			synctest.Wait()
			require.Equal(t, []string{"stays"}, v.usable(), "return noticed after %s", noticed)
		})
	}
}

// The store is away for longer than entries of targets last. On its return the
// list is empty for a moment although every target serves; callers must not be
// refused meanwhile.
func TestTargetsWhoseEntriesTheOutageSwallowedAreUsedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &listLog{}
		store.list("a")
		store.list("b")
		v := viewOf(store)
		v.watchTargets(t.Context())
		time.Sleep(time.Second)

		store.setAway(true)
		time.Sleep(20 * time.Second)
		store.drop("a")
		store.drop("b")
		store.setAway(false)
		v.view.StoreAnswered()
		for range 13 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			require.Equal(t, []string{"a", "b"}, v.usable())
		}
		store.list("b")
		time.Sleep(leaveBound)
		synctest.Wait()
		require.Equal(t, []string{"b"}, v.usable())
	})
}

// A failure domain is cut off for longer than entries of targets last. When the cut
// ends, its instances hear one of another domain a moment before the store, and that
// one's list lacks all targets of their domain. These serve all the while; callers
// must not wait for the slots of other domains until they register again.
func TestTargetsThatLapsedBehindACutAreUsedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &listLog{}
		store.list("own")
		store.list("far")
		v := viewOf(store)
		v.watchTargets(t.Context())
		time.Sleep(time.Second)

		store.setAway(true)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		store.drop("own")
		v.view.AdoptTargets([]roster.Target{{ID: "far"}}, store.end())
		require.Equal(t, []string{"far", "own"}, v.usable())

		store.setAway(false)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"far", "own"}, v.usable())

		time.Sleep(leaveBound - time.Second - toArrive)
		synctest.Wait()
		require.Equal(t, []string{"far"}, v.usable(), "one that does not register again is gone")
	})
}
