package fleetview

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A store answers an instance's reads no more for some seconds, while operators replace the
// configuration three times a second. Guards against reading each of the versions after
// that: only the newest one counts, and each may be some hundred kilobytes, for each instance.
func TestOnlyNewestConfigurationIsReadAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		store.put("config")
		watchDrains(t, store)
		sleep(1500 * time.Millisecond)
		store.fail(1<<30, 1<<30)
		for range 12 {
			sleep(330 * time.Millisecond)
			store.renew("config")
		}
		store.fail(0, 0)
		sleep(1500 * time.Millisecond)
		require.Less(t, store.longestRead(), 4, "versions in one read")
	})
}
