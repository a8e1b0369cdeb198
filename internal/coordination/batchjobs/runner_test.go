package batchjobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A change of a partition is told while the partition is being given up. Taken in
// after that, it would tie the items to a holding that hears of nothing more: they
// would go on running after their job was ended.
func TestChangeThatComesAfterTheDropIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 3)
		r := NewRunner(p.opts)
		h := p.hold()
		pass(time.Second)
		r.refresh(h)
		require.Len(t, r.tasks, 3)
		r.drop(h)
		require.Empty(t, r.tasks)
		r.refresh(h)
		require.Empty(t, r.tasks)
	})
}
