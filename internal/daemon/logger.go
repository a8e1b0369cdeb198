package daemon

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/logline"
	"merlintiller/internal/settings"
)

var levels = map[settings.LogLevel]level.Option{
	settings.LevelDebug: level.AllowDebug(),
	settings.LevelInfo:  level.AllowInfo(),
	settings.LevelWarn:  level.AllowWarn(),
	settings.LevelError: level.AllowError(),
}

// NewLogger returns a logger that writes one line for each event, as key=value pairs or
// JSON, within the rate budget of package logline.
func NewLogger(w io.Writer, s settings.Log) log.Logger {
	w = log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(w)
	if s.Format == settings.FormatJSON {
		logger = log.NewJSONLogger(w)
	}
	logger = logline.NewBudget(logger, time.Now)
	logger = level.NewFilter(logger, levels[s.Level], level.SquelchNoLevel(false))
	return log.With(logger, "at", log.DefaultTimestampUTC)
}
