// Package listening opens the listeners of a process before it reports that it has started.
package listening

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// OpenFunc opens a listener.
type OpenFunc func() (net.Listener, error)

// Now opens a listener. The first call of the returned function hands it over to the service
// that serves it; a further call, after the service has failed, opens another one.
//
// If a service opened its listener itself, an address that is in use would be found only
// after the start: the process would go on without the listener, and its supervisor would
// only write warnings.
func Now(name, address string, open OpenFunc) (OpenFunc, error) {
	listener, err := open()
	if err != nil {
		return nil, trace.Wrap(err, "opening the listener for %s at %s", name, address)
	}
	opened := &openedListener{listener: listener, open: open}
	return opened.take, nil
}

type openedListener struct {
	open OpenFunc

	mu       sync.Mutex
	listener net.Listener
}

func (o *openedListener) take() (net.Listener, error) {
	o.mu.Lock()
	listener := o.listener
	o.listener = nil
	o.mu.Unlock()
	if listener != nil {
		return listener, nil
	}
	return o.open()
}
