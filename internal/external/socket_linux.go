package external

import (
	"errors"
	"syscall"
	"time"
)

const (
	// unacknowledgedLimit ends a connection on which sent bytes stay
	// unacknowledged. The other sides are some milliseconds away.
	unacknowledgedLimit = 5 * time.Second
	// tcpUserTimeout is the socket option for it, in milliseconds. Package
	// syscall does not name it.
	tcpUserTimeout = 18
)

// limitUnacknowledged sets the bound on unacknowledged bytes.
//
// What goes wrong without it: packets are dropped without a reset. A write
// succeeds, nothing ever comes back, and the connection counts as in use until
// the process ends.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}
