package external

import (
	"errors"
	"syscall"
	"time"
)

const (
	// unacknowledgedTimeout is the time after which a connection with unacknowledged
	// bytes is closed. The round-trip time to the other side is a few milliseconds.
	unacknowledgedTimeout = 5 * time.Second
	// tcpUserTimeout is the number of the TCP_USER_TIMEOUT socket option, whose value is
	// in milliseconds. Package syscall does not define it.
	tcpUserTimeout = 18
)

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
//
// Without the timeout, a connection whose packets are dropped without a reset stays in
// use until the process ends: writes succeed and no answer ever arrives.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
