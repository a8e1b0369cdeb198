package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports that processes get lie below those that the kernel gives to
// outgoing connections. A port of that range may be free when it is chosen and
// taken by a connection of another process when it is bound: the process then
// never becomes ready, once in some hundred starts.
const (
	firstPort = 12000
	lastPort  = 32000
	// portTries bounds the search for a free port.
	portTries = 200
)

// given are the ports that this process has given out, to nobody twice.
var given struct {
	sync.Mutex
	ports map[int]bool
}

var errNoPort = errors.New("no free port")

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	given.Lock()
	defer given.Unlock()
	if given.ports == nil {
		given.ports = map[int]bool{}
	}
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if given.ports[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		given.ports[port] = true
		return address, nil
	}
	return "", errNoPort
}

// FreeAddresses returns several addresses that differ.
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
