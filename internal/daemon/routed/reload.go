package routed

import (
	"context"
	"os"
	"reflect"

	"github.com/go-kit/log/level"

	"merlintiller/internal/settings"
)

// Reload reads the settings again on each signal until ctx ends. Seeds are applied at
// once; other changes take effect at the next start. A file that can't be read changes
// nothing.
func (d *Daemon) Reload(ctx context.Context, requests <-chan os.Signal, load func() (*settings.Routed, error)) {
	for {
		select {
		case <-requests:
			d.reload(load)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) reload(load func() (*settings.Routed, error)) {
	s, err := load()
	if err != nil {
		_ = level.Error(d.logger).Log("event", "reload_failed", "err", err)
		return
	}
	d.mesh.SetSeeds(s.Seeds)
	before := *d.settings
	before.Seeds = s.Seeds
	_ = level.Info(d.logger).Log("event", "reloaded", "seeds", len(s.Seeds), "needs_restart", !reflect.DeepEqual(&before, s))
}
