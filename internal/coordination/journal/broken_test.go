package journal

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

func stepNamed(t *testing.T, name string) step {
	for _, s := range steps {
		if s.name == name {
			return s
		}
	}
	require.Fail(t, "no step "+name)
	return step{}
}

func faultNamed(t *testing.T, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	require.Fail(t, "no fault "+name)
	return fault{}
}

// requireViolation runs a cell of the matrix with a faulty variant of the
// journal and requires that the checker reports the violation that the variant
// causes.
func requireViolation(t *testing.T, stepName, faultName, finding string, broken func(*Options)) {
	t.Run(stepName+"/"+faultName, func(t *testing.T) {
		s, f := stepNamed(t, stepName), faultNamed(t, faultName)
		synctest.Test(t, func(t *testing.T) {
			violations := runCell(t, s, f, broken)
			require.Condition(t, func() bool { return anyContains(violations, finding) }, "no violation contains %q: %q", finding, violations)
		})
	})
}

func anyContains(violations []string, finding string) bool {
	for _, violation := range violations {
		if strings.Contains(violation, finding) {
			return true
		}
	}
	return false
}

// The faulty variant ignores its hold time. An instance that is paused or
// isolated from the log continues exclusive work after another instance has
// taken over its lease.
func TestBrokenHolderIgnoringItsHoldTimeIsDetected(t *testing.T) {
	broken := func(o *Options) {
		o.Timings.Session = DefaultTimings().Session
		o.Timings.Session.Hold = 24 * time.Hour
	}
	const finding = "believe that they hold"
	requireViolation(t, "renew", "pause-past-lease", finding, broken)
	requireViolation(t, "renew", "cut-from-log", finding, broken)
	requireViolation(t, "lease-claim", "cut-from-log", finding, broken)
}

// The faulty variant counts the time of an outage as silence. The first
// observer that reads the log again expires the sessions of the instances that
// reconnect slightly later.
func TestBrokenObserverCountingAnOutageIsDetected(t *testing.T) {
	broken := func(o *Options) {
		o.Timings.Session = DefaultTimings().Session
		o.Timings.Session.Hold = 24 * time.Hour
		o.Timings.DownAfter = 24 * time.Hour
	}
	requireViolation(t, "renew", "log-back-unevenly", "lost its session", broken)
}

// rebasingLog disables the based-on check of replay: it rewrites the base
// version of each configuration change to the current version.
type rebasingLog struct {
	external.Log
	state *replica.State
}

func (l *rebasingLog) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if err != nil || stream != protocol.ControlStream {
		return page, err
	}
	for i, entry := range page.Entries {
		page.Entries[i].Payload = l.rebase(entry)
	}
	return page, nil
}

func (l *rebasingLog) rebase(entry external.Entry) []byte {
	frame, err := protocol.DecodeFrame(entry.Payload)
	if err != nil || entry.Offset != l.state.Applied()+1 {
		return entry.Payload
	}
	for i := range frame.Records {
		if change := frame.Records[i].FleetChange; change != nil {
			change.BasedOn = l.state.Fleet.Fleet().Version
		}
	}
	l.state.Apply(entry.Offset, frame)
	payload, _ := protocol.EncodeFrame(frame)
	return payload
}

// The faulty variant does not check the version on which a configuration change
// is based. If two operators change the configuration at the same time, the
// second change overwrites the first without an error.
func TestBrokenReplayWithoutTheBasedOnCheckIsDetected(t *testing.T) {
	s := stepNamed(t, "apply")
	synctest.Test(t, func(t *testing.T) {
		violations := runRace(t, s, func(o *Options) {
			o.Log = &rebasingLog{Log: o.Log, state: replica.New()}
		})
		require.Condition(t, func() bool { return anyContains(violations, "outcome is accepted") }, "%q", violations)
	})
}
