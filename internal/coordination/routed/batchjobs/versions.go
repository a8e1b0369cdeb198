package batchjobs

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
)

// minVersionWait is the shortest time that an item with output waits for a slot of its
// software version before it starts again at another one.
const minVersionWait = 300 * time.Millisecond

// Reasons for which an item with output starts again. Their values appear in logs and metrics.
const (
	versionUnknown = "version_unknown"
	versionGone    = "version_gone"
	versionFull    = "version_full"
	outputTooLarge = "output_too_large"
)

// mayRunAt reports whether the item may run at a target of a software version: output of two
// versions must not be joined.
func (t *task) mayRunAt(version string) bool { return t.events == 0 || t.version == version }

// versionWait is how long the item waits for a slot of its software version while it could start
// again at another one: as long as it takes to produce its output again.
func (r *Runner) versionWait(t *task) time.Duration {
	return max(minVersionWait, r.estimate.remaining(0)-r.estimate.remaining(t.events))
}

// acceptedVersions returns the software versions at which an item of a service may run now.
// Empty: any. The caller holds the lock.
func (r *Runner) acceptedVersions(now time.Time, runnable []runnableTask, service string) (out []string) {
	for _, candidate := range runnable {
		t := candidate.task
		switch {
		case candidate.service != service || slices.Contains(out, t.version):
		case t.events == 0 || now.Sub(t.notBefore) > r.versionWait(t):
			return nil
		default:
			out = append(out, t.version)
		}
	}
	return out
}

// taskFor returns the item to start in a free slot of a target of a version, nil if there is
// none: the most urgent one that may run there, unless a more urgent one has waited long enough
// for its own version. The caller holds the lock.
func (r *Runner) taskFor(now time.Time, runnable []runnableTask, service, version string) *task {
	var waitedEnough *task
	for _, candidate := range runnable {
		t := candidate.task
		switch {
		case candidate.service != service:
		case t.mayRunAt(version):
			return t
		case t.passedOverAt.IsZero():
			t.passedOverAt = now
		case now.Sub(t.passedOverAt) > r.versionWait(t):
			return t
		}
		if waitedEnough == nil && candidate.service == service && now.Sub(t.notBefore) > r.versionWait(t) {
			waitedEnough = t
		}
	}
	return waitedEnough
}

// listedVersions caches, by service and version, whether a target is listed.
type listedVersions map[[2]string]bool

// has reports whether a target of a service is listed, of a version or, if version is empty, of
// any.
func (l listedVersions) has(placer Placer, service, version string) bool {
	key := [2]string{service, version}
	listed, known := l[key]
	if !known {
		want := placement.Requirements{Service: service}
		if version != "" {
			want.Versions = []string{version}
		}
		listed = placer.HasTargets(want)
		l[key] = listed
	}
	return listed
}

// settleVersion discards the output of a waiting item that can't be continued: it is not known
// at which software version it began, or no target of that version is listed. The caller holds
// the lock.
func (r *Runner) settleVersion(t *task, service string, listed listedVersions) {
	if t.events == 0 {
		return
	}
	if t.version == "" {
		t.version, _ = r.opts.OnlyVersion(service)
		t.output.setVersion(t.version)
	}
	switch {
	case !listed.has(r.opts.Placer, service, ""):
	case t.version == "":
		r.restart(t, versionUnknown)
	case !listed.has(r.opts.Placer, service, t.version):
		r.restart(t, versionGone)
	}
}

// restart discards the output of a waiting item. The caller holds the lock.
func (r *Runner) restart(t *task, reason string) {
	metrics.GetOrCreateCounter(`batch_items_restarted_total{reason="` + reason + `"}`).Inc()
	_ = level.Info(r.opts.Logger).Log("event", "item_restarted", "item", t.id.item, "job", t.id.job, "reason", reason,
		"version", t.version, "position", t.position, "due_in_ms", time.Until(t.job.Due).Milliseconds())
	t.text.Reset()
	t.events, t.position, t.version, t.runTime = 0, exchange.FromStart, "", 0
	t.passedOverAt = time.Time{}
	t.output.reset()
}
