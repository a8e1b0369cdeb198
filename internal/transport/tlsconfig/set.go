package tlsconfig

import (
	"net/netip"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/settings"
)

// Set holds the sources of all listeners of a process. A nil source means plaintext.
type Set struct {
	Callers, Peers, Operators *Source
}

// OpenAll loads the certificates that the settings name. It logs a warning for each
// plaintext listener that is not on loopback; the settings must permit such a listener.
func OpenAll(s *settings.Settings, logger log.Logger) (Set, error) {
	var set Set
	listeners := []struct {
		name, address string
		files         Files
		source        **Source
	}{
		{"callers", s.Listen.Callers, Files{Cert: s.TLS.Callers.Cert, Key: s.TLS.Callers.Key}, &set.Callers},
		{"peers", s.Listen.Peers, Files(s.TLS.Peers), &set.Peers},
		{"operators", s.Listen.Operators, Files(s.TLS.Operators), &set.Operators},
	}
	for _, l := range listeners {
		if l.files == (Files{}) {
			warnPlaintext(l.name, l.address, logger)
			continue
		}
		source, err := Open(l.name, l.files, s.TLS.ReloadEvery, logger)
		if err != nil {
			return Set{}, err
		}
		*l.source = source
	}
	return set, nil
}

func warnPlaintext(name, address string, logger log.Logger) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().IsLoopback() {
		return
	}
	_ = level.Warn(logger).Log("event", "plaintext_listener", "listener", name, "address", address)
}

// Services returns the sources that are not nil, for the supervisor to run.
func (s Set) Services() []*Source {
	var out []*Source
	for _, source := range []*Source{s.Callers, s.Peers, s.Operators} {
		if source != nil {
			out = append(out, source)
		}
	}
	return out
}
