package fleetview

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

// Guards against a leaving target that gets requests again: its older entry is read from the store after the newer
// list was adopted from a peer.
func TestOlderRecordDoesNotReplaceNewerList(t *testing.T) {
	var usable []string
	view := New(Options{
		Logger:    log.NewNopLogger(),
		OnTargets: func(_ int64, list []roster.Target) { usable = idsOf(list) },
		Decoders: Decoders{Target: func(id string, value []byte) (roster.Target, error) {
			return roster.Target{ID: id, Version: "v1", Leaving: string(value) == "draining"}, nil
		}},
	})
	view.AdoptTargets([]roster.Target{{ID: "a", Version: "v1", Leaving: true}, {ID: "b", Version: "v1"}}, 9, "peer")
	require.Equal(t, []string{"b"}, usable)
	view.applyTargets(external.KeyedPage{End: 9, Next: 7, Records: []external.KeyedRecord{
		{Key: "a", Value: []byte("ready"), Offset: 5}, {Key: "b", Offset: 6},
	}})
	require.Equal(t, []string{"b"}, usable, "records 5 and 6 are older than the list")
	view.applyTargets(external.KeyedPage{End: 10, Next: 10, Records: []external.KeyedRecord{{Key: "a", Value: []byte("ready"), Offset: 9}}})
	require.Equal(t, []string{"a", "b"}, usable)
}

func idsOf(list []roster.Target) (ids []string) {
	for _, t := range list {
		ids = append(ids, t.ID)
	}
	return ids
}
