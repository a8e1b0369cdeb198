package routed

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/state/route"
)

// restartWithoutServices kills the process and returns a new one that runs no services, so that it
// knows only what the test tells it.
func (inst *testInstance) restartWithoutServices() *Daemon {
	inst.kill()
	s := inst.settings
	fresh, err := New(&s, inst.fleet.net.Host(inst.ip), inst.daemon.logger)
	require.NoError(inst.fleet.t, err)
	inst.fleet.t.Cleanup(fresh.closeConnections)
	return fresh
}

// Guards against a restarted instance that treats all rates as unused. A peer that still
// remembers the previous incarnation of the instance sends heartbeats without bucket
// levels, and such a heartbeat must not count as quota state.
func TestHeartbeatWithoutBucketLevelsGivesNoQuotaState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		inst := fleet.instances[0]
		fresh := inst.restartWithoutServices()
		fresh.limiter.SetOrganisations(1, []route.Organisation{{Name: "two", Rate: 10, Burst: 10}})
		fresh.limiter.SetFleetKnown()
		heartbeat := mesh.Heartbeat{
			From: mesh.Instance{Name: "other", Domain: "d0", Address: "10.0.1.9:82", Start: 1},
			Seq:  1, ConfigVersion: 1, Informed: true, Whole: true, Uptime: time.Hour,
		}
		delegate := &meshDelegate{Daemon: fresh}
		delegate.HeartbeatReceived(heartbeat, time.Second)
		require.Nil(t, fresh.limiter.BucketLevels())
		heartbeat.Seq, heartbeat.TellsLevels, heartbeat.Levels = 2, true, quota.BucketLevels{"two": -3}
		delegate.HeartbeatReceived(heartbeat, time.Second)
		require.NotNil(t, fresh.limiter.BucketLevels())
	})
}

// Guards against an organisation that exceeds its rate while no line tells what the instances
// knew when they admitted its requests.
func TestLinesTellOnWhatARateWasDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 1})
		restarted := fleet.instances[3]
		restarted.kill()
		restarted.start()
		fleet.awaitReady()
		restarted.send(callerRequest{id: "first", path: "/once/a", key: keyTwo})
		for restarted.daemon.limiter.Admit("two").Admitted {
			continue
		}
		restarted.send(callerRequest{id: "last", path: "/once/a", key: keyTwo})
		lines := restarted.logs.String()
		require.Regexp(t, `event=rate_levels from=n-\d-\d instances=4 config=3`, lines)
		admitted, refused := restarted.linesOf("first"), restarted.linesOf("last")
		for _, line := range []string{admitted, refused} {
			require.Regexp(t, `level=-?\d+\.\d\d share=1\.00 limits=3 levels_from=n-\d-\d levels_age_ms=\d+ instances=4 reachable=4 reports_age_ms=\d+`, line)
		}
		require.Contains(t, admitted, "outcome=answered")
		require.Contains(t, refused, "reason=over_rate")
	})
}

// Guards against an instance that takes itself for the whole fleet: it has read the configuration
// and not yet heard which other instances there are, and admits a whole burst.
func TestInstanceThatDoesNotKnowTheFleetAdmitsNothingOfARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		inst := fleet.instances[0]
		fresh := inst.restartWithoutServices()
		config, _ := fleet.store.Newest("keyed.op", 0, "config")
		fresh.view.AdoptConfig(config, "peer")
		fleet.background.Go(func() { _ = fresh.front.Serve(fleet.ctx) })
		refused := inst.send(callerRequest{id: "early", path: "/once/a", key: keyTwo})
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Contains(t, inst.logs.String(), "reason=rates_unknown")
		fresh.limiter.SetFleetKnown()
		require.True(t, fresh.limiter.Admit("two").Admitted)
	})
}
