package daemon

import (
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/platformhttp"
	"merlintiller/internal/transport/targethttp"
)

// adapters holds the clients of the platform and of the targets. Online calls, batch
// items, at-most-once calls and control calls each have their own connections, so that no
// kind waits for another.
type adapters struct {
	log     external.Log
	list    external.InstanceList
	weights external.WeightStore

	online     *targethttp.Client
	atMostOnce *targethttp.Client
	batch      *targethttp.Client
	control    *targethttp.Client
}

// controlIdleTimeout is the time after which an idle control connection is closed. In
// small fleets every target is polled each second, so the connections stay open. With 850
// targets each target is polled every 40 seconds, and open connections to all of them would
// take most of an instance's memory.
const controlIdleTimeout = 5 * time.Second

func newAdapters(s *settings.Settings) adapters {
	return adapters{
		log:        platformhttp.New(s.Platform.Log),
		list:       platformhttp.New(s.Platform.List),
		weights:    platformhttp.New(s.Platform.Weights),
		online:     targethttp.New(targethttp.Options{Name: "online"}),
		atMostOnce: targethttp.New(targethttp.Options{Name: "once", FreshConnections: true}),
		batch:      targethttp.New(targethttp.Options{Name: "batch"}),
		control:    targethttp.New(targethttp.Options{Name: "control", IdleTimeout: controlIdleTimeout}),
	}
}
