package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports of the started processes are below the range that the kernel uses for
// outgoing connections. A port of that range may be free when it is chosen and
// used by a connection of another process when it is bound. The started process
// then never becomes ready, which happened about once in several hundred starts.
const (
	firstPort = 12000
	lastPort  = 32000
	// maxPortAttempts limits the search for a free port.
	maxPortAttempts = 200
)

// reservations holds the reservations of the ports that this process has returned. They last
// until it ends, so no port is returned twice.
var reservations struct {
	sync.Mutex
	held []net.Listener
}

var errNoPort = errors.New("no free port")

// FreeAddress returns a loopback address with a port that is currently free, and reserves it
// among the processes that use this package.
func FreeAddress() (string, error) {
	reservations.Lock()
	defer reservations.Unlock()
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		reservation, err := reservePort(port)
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = listener.Close()
		reservations.held = append(reservations.held, reservation)
		return address, nil
	}
	return "", errNoPort
}

// reservePort reserves a port by a socket in the kernel's abstract namespace, which ends with
// the process. The port itself can't be kept bound, since the started process binds it. If it
// were only looked at, several test processes could choose the same one before it is bound.
func reservePort(port int) (net.Listener, error) {
	return net.Listen("unix", fmt.Sprintf("@merlintiller-port-%d", port))
}

// FreeAddresses returns count different addresses, as FreeAddress does.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
