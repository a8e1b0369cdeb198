package proctest

import "testing"

// An instance is killed immediately after it has acknowledged a job. The other
// instances must complete the job with exactly one result for each item. No item
// may be lost or billed twice.
func TestKillRightAfterAcknowledgement(t *testing.T) {
	const items, tokens = 300, 4
	f := start(t, options{settings: shortTimings})
	job := f.submit(f.client(f.Instances[0], f.secret), items, tokens)
	f.Instances[0].Process.Kill()
	f.requireComplete(f.client(f.Instances[1], f.secret), job, items, tokens)
	f.requireComplete(f.client(f.Instances[2], f.secret), job, items, tokens)
}
