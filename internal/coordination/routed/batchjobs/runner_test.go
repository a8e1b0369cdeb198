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

// Two changes of a partition come close together, the second of them a job. The look
// at the partition that the first one caused is taken in last, and is older than the
// job. Its items would be forgotten, and no target would get them until the next
// change of the partition, which may never come.
func TestItemsAreThoseOfTheMomentAtWhichTheyAreTakenIn(t *testing.T) {
	p := newPlace(t, 3)
	r := NewRunner(p.opts)
	h := newHolding(p.opts, p.at, nil)
	r.mu.Lock()
	over := make(chan struct{})
	go func() {
		defer close(over)
		r.refresh(h)
	}()
	// Time for the goroutine to look too early, if it does so at all.
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, h.load(t.Context()))
	r.mu.Unlock()
	<-over
	require.Len(t, r.tasks, 3)
}
