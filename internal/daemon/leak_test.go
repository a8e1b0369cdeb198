package daemon

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine is left after the tests of this package. A background
// service that does not end delays a graceful shutdown until the process is killed, which
// interrupts the calls in flight.
func TestMain(m *testing.M) {
	code := m.Run()
	// The idle connections of the tests themselves are not leaks.
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
