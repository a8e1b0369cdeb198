package origin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/state/roster"
)

const (
	listTopic    = "keyed.servers"
	summaryTopic = "keyed.versions"
)

// archiveTest is an archive whose instance has the list that is in the store.
type archiveTest struct {
	t       *testing.T
	store   *sharedstore.Store
	archive *Archive
	list    map[string]roster.Target
	mark    int64
	// recent are the versions that the instance knows beside those of the list.
	recent VersionSet
}

func decodeTestTarget(id string, value []byte) (roster.Target, error) {
	var t roster.Target
	err := json.Unmarshal(value, &t)
	t.ID = id
	return t, err
}

func newArchiveTest(t *testing.T) *archiveTest {
	a := &archiveTest{t: t, store: sharedstore.New(1), list: map[string]roster.Target{}}
	a.archive = NewArchive(ArchiveOptions{
		Log: &sharedstore.Direct{Store: a.store}, Summaries: external.Partition{Topic: summaryTopic}, Targets: external.Partition{Topic: listTopic},
		DecodeTarget: decodeTestTarget, IsWriter: func() bool { return true }, Logger: log.NewNopLogger(),
		Recent: func() VersionSet { return a.recent },
		Listed: func() (list []roster.Target, mark int64) {
			for _, entry := range a.list {
				list = append(list, entry)
			}
			return list, a.mark
		},
	})
	return a
}

func (a *archiveTest) put(id, version string) {
	entry := roster.Target{Service: "s", Version: version, Domain: "d0"}
	value, err := json.Marshal(entry)
	require.NoError(a.t, err)
	a.store.Put(listTopic, id, value)
	entry.ID = id
	a.list[id] = entry
	a.mark++
}

func (a *archiveTest) remove(id string) {
	a.store.Put(listTopic, id, nil)
	delete(a.list, id)
	a.mark++
}

// serve runs the archive for a time.
func (a *archiveTest) serve(d time.Duration) {
	for range d / time.Second {
		time.Sleep(time.Second)
		require.NoError(a.t, a.archive.update(a.t.Context()))
	}
}

// past returns the past versions of the service as an instance that starts now reads them.
func (a *archiveTest) past() []string {
	past, err := a.archive.Past(a.t.Context())
	require.NoError(a.t, err)
	return slices.Sorted(maps.Keys(past["s"]))
}

// Guards against a version that is missing in the past while streams of it may be taken up, though its targets have left and
// the changes of the list are deleted at any moment.
func TestPastHasVersionsThatLeftForAsLongAsTheirStreams(t *testing.T) {
	for _, settled := range []time.Duration{0, 7 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			a := newArchiveTest(t)
			a.put("a", "v1")
			a.put("b", "v2")
			a.serve(time.Minute)
			a.put("c", "v2")
			a.serve(settled)
			a.remove("a")
			for age := time.Duration(0); age <= streamLifetime; age += time.Second {
				require.Equal(t, []string{"v1", "v2"}, a.past(), age)
				a.serve(time.Second)
			}
			a.serve(2 * settleTime)
			require.Equal(t, []string{"v2"}, a.past())
		})
	}
}

// Guards against another writer that drops a version which has just left, since it finds no change after the last summary.
func TestNextWriterKeepsVersionThatJustLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newArchiveTest(t)
		a.put("a", "v1")
		a.put("b", "v2")
		a.serve(time.Minute)
		a.remove("a")
		a.serve(2 * time.Second)
		for range 5 {
			a.archive.seenAt = time.Time{}
			a.serve(2 * time.Second)
			require.Equal(t, []string{"v1", "v2"}, a.past())
		}
	})
}

// Guards against a conclusion from what the store has kept by chance: it deleted changes that no summary contains.
func TestPastIsUnknownAfterChangesWereDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newArchiveTest(t)
		a.put("a", "v1")
		a.store.Trim(listTopic)
		_, err := a.archive.Past(t.Context())
		require.ErrorIs(t, err, errPastUnknown, "no summary yet")
		a.serve(time.Second)
		_, err = a.archive.Past(t.Context())
		require.ErrorIs(t, err, errPastUnknown, "the first summary can't know what was deleted")
		a.serve(2 * settleTime)
		require.Equal(t, []string{"v1"}, a.past())

		a.store.Trim(listTopic)
		require.Equal(t, []string{"v1"}, a.past(), "the summary contains what was deleted")
		a.put("b", "v2")
		a.store.Trim(listTopic)
		_, err = a.archive.Past(t.Context())
		require.ErrorIs(t, err, errPastUnknown)
	})
}

// Guards against writes by each change of the list: a fleet of hundreds of targets changes it all the time.
func TestSummaryIsWrittenRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newArchiveTest(t)
		for range 10 {
			a.put("a", "v1")
			a.serve(time.Minute)
		}
		require.LessOrEqual(t, a.appends(), 11)
		before := a.appends()
		a.serve(10 * time.Minute)
		require.Equal(t, before, a.appends(), "nothing changed")
	})
}

// appends returns the number of summaries that were written.
func (a *archiveTest) appends() int {
	page, err := a.archive.opts.Log.Read(a.t.Context(), a.archive.opts.Summaries, 0, 0)
	require.NoError(a.t, err)
	return len(page.Records)
}

// Guards against summaries that grow beyond what an instance may send each second, at the size to design for: 38 services with three
// versions each in four failure domains.
func TestSummaryAtTargetSizeIsSmall(t *testing.T) {
	const services, versions, maxBytes = 38, 3, 4 << 10
	s := summary{Mark: 1 << 40, Services: VersionSet{}}
	for n := range services {
		for v := range versions {
			for d := range targetDomains {
				s.Services.add(fmt.Sprintf("service-of-model-%d", n), fmt.Sprintf("v1.%d.0", v), fmt.Sprintf("region-%d", d))
			}
		}
	}
	value, err := encodeSummary(&s)
	require.NoError(t, err)
	t.Logf("%d bytes", len(value))
	require.LessOrEqual(t, len(value), maxBytes)
}

// Guards against summaries that can't be read back, and against bytes in the store that stop the instance that reads them.
func FuzzDecodeSummary(f *testing.F) {
	s := summary{Mark: 7, Services: VersionSet{}, Incomplete: true}
	s.Services.add("a", "v1", "d0")
	s.Services.add("a", "v2", "d1")
	s.Services.add("b", "v1", "d1")
	value, err := encodeSummary(&s)
	require.NoError(f, err)
	decoded, err := decodeSummary(value)
	require.NoError(f, err)
	require.Equal(f, &s, decoded)
	f.Add(value)
	outOfRange, err := cbor.Marshal(&storedSummary{Services: map[string]map[string][]int{"a": {"v1": {1}}}})
	require.NoError(f, err)
	_, err = decodeSummary(outOfRange)
	require.Error(f, err)
	f.Add(outOfRange)
	f.Fuzz(func(t *testing.T, value []byte) {
		if found, err := decodeSummary(value); err == nil {
			_, err = encodeSummary(found)
			require.NoError(t, err)
		}
	})
}

// Guards against a version that is missing in the past while it may serve in a failure domain that can't renew its entries.
func TestPastHasVersionsOfFailureDomainsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newArchiveTest(t)
		a.put("a", "v1")
		a.put("b", "v2")
		a.serve(time.Minute)
		a.recent = pastOf("s", "v1")
		a.remove("a")
		a.serve(time.Minute)
		a.store.Trim(listTopic)
		require.Equal(t, []string{"v1", "v2"}, a.past())
		a.recent = nil
		a.serve(2 * settleTime)
		require.Equal(t, []string{"v2"}, a.past())
	})
}
