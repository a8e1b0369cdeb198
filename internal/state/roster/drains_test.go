package roster

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a drain that an older record undoes, or a drain that an older record
// brings back, when a store node lags.
func TestOlderDrainRecordIsIgnored(t *testing.T) {
	d := Drains{Known: true, Mark: 4}
	d.Apply(4, "a", true)
	d.Apply(5, "b", true)
	d.Apply(6, "b", false)
	require.Equal(t, []string{"a"}, d.Domains)
	d.Apply(5, "b", true)
	require.Equal(t, []string{"a"}, d.Domains)
	require.False(t, d.Adopt(Drains{Known: true, Mark: 5, Domains: []string{"b"}}))
	require.True(t, d.Has("a"))
	require.False(t, d.Has("b"))
}

// Guards against an instance that keeps a drain whose end it missed: the record of its
// end is not in the store any more, and only the full state shows that it has ended.
func TestNewerStateEndsADrain(t *testing.T) {
	d := Drains{}
	require.False(t, d.Adopt(Drains{Mark: 9, Domains: []string{"a"}}), "from an instance that has not read the records")
	require.True(t, d.Adopt(Drains{Known: true, Mark: 3, Domains: []string{"b", "a"}}))
	require.Equal(t, []string{"a", "b"}, d.Domains)
	require.True(t, d.Adopt(Drains{Known: true, Mark: 8}))
	require.Empty(t, d.Domains)
	require.EqualValues(t, 8, d.Mark)
}
