package daemon

import (
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/platformhttp"
	"merlintiller/internal/transport/targethttp"
)

// outside holds the adapters to the platform and to the targets. Online calls,
// batch items, calls that may not be repeated and control each have their own
// connections, so that none waits behind another.
type outside struct {
	log     external.Log
	list    external.InstanceList
	weights external.WeightStore

	online  *targethttp.Client
	once    *targethttp.Client
	batch   *targethttp.Client
	control *targethttp.Client
}

// controlIdle closes connections over which no control call went for some
// seconds. At the sizes of today every target is asked each second, so they
// stay open. At 850 targets each is asked every 40 seconds, and open connections
// to all of them would be most of an instance's memory.
const controlIdle = 5 * time.Second

func newOutside(s *settings.Settings) outside {
	return outside{
		log:     platformhttp.New(s.Platform.Log),
		list:    platformhttp.New(s.Platform.List),
		weights: platformhttp.New(s.Platform.Weights),
		online:  targethttp.New(targethttp.Options{Name: "online"}),
		once:    targethttp.New(targethttp.Options{Name: "once", FreshConnections: true}),
		batch:   targethttp.New(targethttp.Options{Name: "batch"}),
		control: targethttp.New(targethttp.Options{Name: "control", IdleTimeout: controlIdle}),
	}
}
