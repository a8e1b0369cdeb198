package inputbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against connections that take memory without bound together, and against one that behaves and is closed for
// those that do not complete their input.
func TestOldestIncompleteInputIsClosedBeyondTheBound(t *testing.T) {
	b := New(100)
	var closed []string
	charge := func(name string) *Charge { return b.NewCharge(func() { closed = append(closed, name) }) }
	slow, whole, quick := charge("slow"), charge("whole"), charge("quick")
	require.True(t, slow.Add(40))
	require.True(t, whole.Add(40))
	whole.Complete()
	require.True(t, quick.Add(40))
	require.Equal(t, []string{"slow"}, closed, "the one that has been incomplete for the longest")
	quick.Complete()
	require.False(t, slow.Add(40), "nothing incomplete can be closed instead")
	whole.Release()
	require.True(t, slow.Add(40))
	require.Equal(t, []string{"slow"}, closed)
	quick.Release()
	slow.Release()
	require.Zero(t, b.used)
	require.Zero(t, b.incomplete.Len())
}

// Guards against a head of short lines that counts its length only, and takes several times that.
func TestLinesOfHeadsCount(t *testing.T) {
	require.Equal(t, int64(8+2*headLineBytes), HeadCost([]byte("a:\r\nb:\r\n")))
}

// Guards against connections that are closed where nothing is bounded.
func TestNoBudgetBoundsNothing(t *testing.T) {
	c := New(0).NewCharge(nil)
	require.True(t, c.Add(1<<40))
	c.Complete()
	c.Release()
}
