package tlsconfig

import (
	"net/netip"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/settings"
)

// Set holds the sources of all listeners of a process. Each may be nil.
type Set struct {
	Callers, Peers, Operators *Source
}

// OpenAll reads the certificates that the settings name. It warns of each
// listener that speaks plaintext beyond loopback, which settings must allow.
func OpenAll(s *settings.Settings, logger log.Logger) (Set, error) {
	var set Set
	wanted := []struct {
		name, address string
		files         Files
		into          **Source
	}{
		{"callers", s.Listen.Callers, Files{Cert: s.TLS.Callers.Cert, Key: s.TLS.Callers.Key}, &set.Callers},
		{"peers", s.Listen.Peers, Files(s.TLS.Peers), &set.Peers},
		{"operators", s.Listen.Operators, Files(s.TLS.Operators), &set.Operators},
	}
	for _, w := range wanted {
		if w.files == (Files{}) {
			warnPlaintext(w.name, w.address, logger)
			continue
		}
		source, err := Open(w.name, w.files, s.TLS.ReloadEvery, logger)
		if err != nil {
			return Set{}, err
		}
		*w.into = source
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

// Services are the sources that look for changed files, for the supervisor.
func (s Set) Services() []*Source {
	var out []*Source
	for _, source := range []*Source{s.Callers, s.Peers, s.Operators} {
		if source != nil {
			out = append(out, source)
		}
	}
	return out
}
