package daemon

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/settings"
)

// Guards against an instance that says it has started although another process has its port.
func TestStartFailsIfAPortIsInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	for name, address := range map[string]func(*settings.Settings) *string{
		"callers":   func(s *settings.Settings) *string { return &s.Listen.Callers },
		"operators": func(s *settings.Settings) *string { return &s.Listen.Operators },
		"peers":     func(s *settings.Settings) *string { return &s.Listen.Peers },
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Default()
			s.Instance, s.Domain = "sea-1", "pnw-sea"
			s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
			*address(s) = taken.Addr().String()
			_, err := New(s, NewLogger(io.Discard, s.Log))
			require.ErrorContains(t, err, "address already in use")
			require.ErrorContains(t, err, name)
		})
	}
}
