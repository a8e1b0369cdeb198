package daemon

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// A duty that does not end holds up a graceful shutdown until the machine kills
// the process, and calls in flight are cut. Whatever the tests of this package
// start has ended when they have.
func TestMain(m *testing.M) {
	code := m.Run()
	// Connections that the tests themselves keep are no duty.
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
