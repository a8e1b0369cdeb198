// Package descriptors tells how many file descriptors the process may have open.
package descriptors

import "syscall"

// unknownLimit is the limit that is assumed if the system does not tell it.
const unknownLimit = 1 << 10

// maxLimit bounds the limit, which may be without end.
const maxLimit = 1 << 30

// Limit returns the number of file descriptors that this process may open.
func Limit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownLimit
	}
	return int(min(limit.Cur, maxLimit))
}
