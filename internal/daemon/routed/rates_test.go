package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/state/route"
)

// Guards against a restarted instance that takes all rates for unused: another one, which
// still has its former life in mind, leaves the buckets out of what it tells.
func TestMessageWithoutBucketsInformsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 1, targets: 1})
		n := w.nodes[0]
		n.kill()
		s := n.settings
		fresh, err := New(&s, w.net.Host(n.ip), n.daemon.logger)
		require.NoError(t, err)
		defer fresh.closeConnections()
		fresh.meter.SetOrganisations([]route.Organisation{{Name: "two", Rate: 10, Burst: 10}})
		beat := mesh.Heartbeat{
			From: mesh.Instance{Name: "other", Domain: "d0", Address: "10.0.1.9:82", Start: 1},
			Seq:  1, Informed: true, Whole: true, Uptime: time.Hour,
		}
		knows := &local{fresh}
		knows.HeartbeatReceived(beat, time.Second)
		require.Nil(t, fresh.meter.BucketLevels())
		beat.Seq, beat.TellsLevels, beat.Levels = 2, true, quota.BucketLevels{"two": -3}
		knows.HeartbeatReceived(beat, time.Second)
		require.NotNil(t, fresh.meter.BucketLevels())
	})
}
