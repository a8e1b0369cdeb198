package routed

import (
	"context"
	"os"
	"reflect"

	"github.com/go-kit/log/level"

	"merlintiller/internal/settings"
)

// Reload reads the settings anew whenever asked, until ctx ends. Seeds are taken
// over at once; other changes count from the next start, and a file that can't be
// read changes nothing.
func (d *Daemon) Reload(ctx context.Context, asked <-chan os.Signal, load func() (*settings.Routed, error)) {
	for {
		select {
		case <-asked:
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
