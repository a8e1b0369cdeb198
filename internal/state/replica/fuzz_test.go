package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// A snapshot comes from a peer or from the platform. Damaged bytes must give an
// error; a crash would take down every instance that starts.
func FuzzRestore(f *testing.F) {
	for seed := range 5 {
		data, err := play(histories().Example(seed), trueRules).state.Snapshot()
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
		again, err := state.Snapshot()
		require.NoError(t, err)
		back, err := Restore(again)
		require.NoError(t, err)
		third, err := back.Snapshot()
		require.NoError(t, err)
		require.Equal(t, again, third)
		state.Apply(state.Applied()+1, protocol.Frame{Records: []protocol.Record{
			{ID: protocol.RecordID{Session: 1, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "i"}},
			{ID: protocol.RecordID{Session: 1, Seq: 2}, LeaseClaim: &protocol.LeaseClaim{Resource: "r"}},
			{ID: protocol.RecordID{Session: 1, Seq: 3}, SessionClose: &protocol.SessionClose{}},
		}})
	})
}
