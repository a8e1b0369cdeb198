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

// allocatedPorts holds the ports that this process has returned. No port is
// returned twice.
var allocatedPorts struct {
	sync.Mutex
	ports map[int]bool
}

var errNoPort = errors.New("no free port")

// FreeAddress returns a loopback address with a port that is currently free.
func FreeAddress() (string, error) {
	allocatedPorts.Lock()
	defer allocatedPorts.Unlock()
	if allocatedPorts.ports == nil {
		allocatedPorts.ports = map[int]bool{}
	}
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if allocatedPorts.ports[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		allocatedPorts.ports[port] = true
		return address, nil
	}
	return "", errNoPort
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
