package routed

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/settings"
)

// Guards against an instance that says it has started although another process has its port.
func TestStartFailsIfAPortIsInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	for name, address := range map[string]func(*settings.Routed) *string{
		"callers":          func(s *settings.Routed) *string { return &s.Listen.Callers },
		"readiness checks": func(s *settings.Routed) *string { return &s.Listen.Readiness },
		"metrics":          func(s *settings.Routed) *string { return &s.Listen.Metrics },
		"peers":            func(s *settings.Routed) *string { return &s.Listen.Peers },
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.DefaultRouted()
			s.Listen = settings.RoutedListen{Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0"}
			*address(s) = taken.Addr().String()
			_, err := New(s, external.OSNetwork{Timeout: time.Second}, log.NewNopLogger())
			require.ErrorContains(t, err, "address already in use")
			require.ErrorContains(t, err, name)
		})
	}
}
