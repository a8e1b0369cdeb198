package fleetview

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a target that has left and is used again after a pause of this process, which takes its own pause for an outage of
// the store in which entries lapsed.
func TestPauseOfProcessIsNoOutageOfStore(t *testing.T) {
	for name, paused := range map[string]bool{"paused": true, "store silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				store.put("goes")
				store.put("stays")
				v := newTestView(store)
				ctx, pause := context.WithCancel(t.Context())
				go func() { _ = (&ticker{v.view}).Serve(ctx) }()
				page, err := store.Newest(t.Context(), v.view.opts.Sources.Targets)
				require.NoError(t, err)
				v.view.StoreAnswered()
				v.view.loadTargets(page)
				time.Sleep(time.Second)
				v.view.StoreAnswered()
				if paused {
					pause()
				}
				time.Sleep(4 * time.Second)
				store.remove("goes")
				page, err = store.after(page.Next)
				require.NoError(t, err)
				v.view.StoreAnswered()
				v.view.applyTargets(page)
				if paused {
					require.Equal(t, []string{"stays"}, v.usable())
				} else {
					require.Equal(t, []string{"goes", "stays"}, v.usable())
				}
				pause()
			})
		})
	}
}
