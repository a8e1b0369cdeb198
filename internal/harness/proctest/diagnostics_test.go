package proctest

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/transport/operatorapi"
)

// logDiagnostics prints the logs, counters and status pages of all instances if the
// test failed, because the folder with the logs is removed after the test.
func (f *fleet) logDiagnostics() {
	if !f.t.Failed() {
		return
	}
	for _, instance := range f.Instances {
		text, err := os.ReadFile(instance.Process.LogFile)
		f.t.Logf("log of %s (%v):\n%s", instance.ID, err, text)
		for _, path := range []string{"/debug/vars", operatorapi.PathStatus, operatorapi.PathTargets} {
			f.t.Logf("%s of %s:\n%s", path, instance.ID, f.fetchPage(instance, path))
		}
	}
}

// pageTimeout limits the wait for a process that is paused or does not respond.
const pageTimeout = 3 * time.Second

// fetchPage returns a page of the operator listener of an instance, or the text of
// the error.
func (f *fleet) fetchPage(i *harness.Instance, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Operators+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+f.OperatorSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
