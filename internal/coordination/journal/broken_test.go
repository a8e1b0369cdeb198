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

// requireRed runs a cell with a broken variant and demands that the checker
// finds the fault that the variant causes.
func requireRed(t *testing.T, stepName, faultName, finding string, broken func(*Options)) {
	t.Run(stepName+"/"+faultName, func(t *testing.T) {
		s, f := stepNamed(t, stepName), faultNamed(t, faultName)
		synctest.Test(t, func(t *testing.T) {
			violations := runCell(t, s, f, broken)
			require.Condition(t, func() bool { return mentions(violations, finding) }, "%q not among %q", finding, violations)
		})
	})
}

func mentions(violations []string, finding string) bool {
	for _, violation := range violations {
		if strings.Contains(violation, finding) {
			return true
		}
	}
	return false
}

// The holder of a lease ignores its own hold time. Paused or cut off, it goes
// on giving orders while another instance has taken its place.
func TestBrokenHolderIgnoringItsHoldTimeTurnsCellsRed(t *testing.T) {
	broken := func(o *Options) {
		o.Timings.Session = DefaultTimings().Session
		o.Timings.Session.Hold = 24 * time.Hour
	}
	const finding = "believe that they hold"
	requireRed(t, "renew", "pause-past-lease", finding, broken)
	requireRed(t, "renew", "cut-from-log", finding, broken)
	requireRed(t, "lease-claim", "cut-from-log", finding, broken)
}

// Observers count the time of an outage as silence. The first that sees the log
// again expires the sessions of all who see it a little later.
func TestBrokenObserverCountingAnOutageTurnsCellsRed(t *testing.T) {
	broken := func(o *Options) {
		o.Timings.Session = DefaultTimings().Session
		o.Timings.Session.Hold = 24 * time.Hour
		o.Timings.DownAfter = 24 * time.Hour
	}
	requireRed(t, "renew", "log-back-unevenly", "lost its session", broken)
}

// anyBase makes replay accept a change whatever it was made from.
type anyBase struct {
	external.Log
	shadow *replica.State
}

func (l *anyBase) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if err != nil || stream != protocol.ControlStream {
		return page, err
	}
	for i, entry := range page.Entries {
		page.Entries[i].Payload = l.rebase(entry)
	}
	return page, nil
}

func (l *anyBase) rebase(entry external.Entry) []byte {
	frame, err := protocol.DecodeFrame(entry.Payload)
	if err != nil || entry.Offset != l.shadow.Applied()+1 {
		return entry.Payload
	}
	for i := range frame.Records {
		if change := frame.Records[i].FleetChange; change != nil {
			change.BasedOn = l.shadow.Fleet.Fleet().Version
		}
	}
	l.shadow.Apply(entry.Offset, frame)
	payload, _ := protocol.EncodeFrame(frame)
	return payload
}

// Replay doesn't check what a change was made from. Of two operators who race,
// the second undoes the first without either noticing.
func TestBrokenReplayWithoutTheBasedOnCheckTurnsCellsRed(t *testing.T) {
	s := stepNamed(t, "apply")
	synctest.Test(t, func(t *testing.T) {
		violations := runRace(t, s, func(o *Options) {
			o.Log = &anyBase{Log: o.Log, shadow: replica.New()}
		})
		require.Condition(t, func() bool { return mentions(violations, "outcome is accepted") }, "%q", violations)
	})
}
