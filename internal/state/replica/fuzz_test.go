package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// Instances load snapshots from a peer or from the platform. A corrupted snapshot
// must cause an error: a panic would crash every starting instance.
func FuzzRestore(f *testing.F) {
	for seed := range 5 {
		data, err := play(histories().Example(seed), correctApply).state.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Restore(data)
		if err != nil {
			require.ErrorIs(t, err, protocol.ErrMalformed)
			return
		}
		first, err := state.Snapshot()
		require.NoError(t, err)
		restored, err := Restore(first)
		require.NoError(t, err)
		second, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, first, second)
		state.Apply(state.Applied()+1, protocol.Frame{Records: []protocol.Record{
			{ID: protocol.RecordID{Session: 1, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "i"}},
			{ID: protocol.RecordID{Session: 1, Seq: 2}, LeaseClaim: &protocol.LeaseClaim{Resource: "r"}},
			{ID: protocol.RecordID{Session: 1, Seq: 3}, SessionClose: &protocol.SessionClose{}},
		}})
	})
}
