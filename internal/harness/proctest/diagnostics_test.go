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

// showEvidence logs what the processes of a failed test said and counted, since
// their folder is removed with the test.
func (f *fleet) showEvidence() {
	if !f.t.Failed() {
		return
	}
	for _, instance := range f.Instances {
		text, err := os.ReadFile(instance.Process.LogFile)
		f.t.Logf("log of %s (%v):\n%s", instance.ID, err, text)
		for _, path := range []string{"/debug/vars", operatorapi.PathStatus, operatorapi.PathTargets} {
			f.t.Logf("%s of %s:\n%s", path, instance.ID, f.page(instance, path))
		}
	}
}

// pageLimit bounds the wait for a process that is paused or stuck.
const pageLimit = 3 * time.Second

// page is what an instance serves to operators, or why it does not.
func (f *fleet) page(i *harness.Instance, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), pageLimit)
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
