// Package proctest tests a small fleet of real processes on loopback. The processes
// are killed or paused by signals, and isolated from the platform by injected
// faults. The tests check counts and values; time limits only end tests that hang.
package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programs is the path of the folder with the built programs.
var programs string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	if encoded := os.Getenv(targetSettingsVariable); encoded != "" {
		serveTarget(encoded)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "merlintiller/cmd/tillerd", "merlintiller/cmd/tillerctl", "merlintiller/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
