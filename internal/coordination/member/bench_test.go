package member

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/session"
)

var fleetSizes = []int{12, 85, 340}

// BenchmarkObserve measures one check of all open sessions. An instance runs
// two checks a second.
func BenchmarkObserve(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := session.New()
			for i := range size {
				table.Apply(protocol.Offset(i), &protocol.Record{
					ID:          protocol.RecordID{Session: protocol.SessionID(i + 1), Seq: 1},
					SessionOpen: &protocol.SessionOpen{Instance: protocol.InstanceID(fmt.Sprint("i", i))},
				}, nil)
			}
			o := NewObserver(DefaultTimings())
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				o.Observe(now, StreamStatus{ReadStartedAt: start, CaughtUpSince: start, RenewalsAccepted: true, OwnSession: 1}, table.All())
			}
		})
	}
}

// BenchmarkPartners measures how long it takes to choose the partners of a
// heartbeat round, and reports their number. A fleet of 340 instances has
// eight failure domains.
func BenchmarkPartners(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			domains := max(3, size/42)
			var known []KnownInstance
			for i := range size {
				known = append(known, KnownInstance{
					Instance: protocol.InstanceID(fmt.Sprint("i", i)),
					Domain:   protocol.Domain(fmt.Sprint("d", i%domains)),
					Address:  fmt.Sprintf("10.0.0.%d:7000", i),
				})
			}
			v := NewView("i0", "d0", DefaultViewLimits())
			partners := 0
			for b.Loop() {
				v.UpdateSessions(start, known)
				partners = len(v.Partners())
			}
			b.ReportMetric(float64(partners), "partners")
			b.ReportMetric(float64(partners*2*heartbeatBytes(b)), "bytes/round")
		})
	}
}

// heartbeatBytes returns the encoded size of one Heartbeat on a connection that
// has already carried one, and with it gob's description of the type.
func heartbeatBytes(tb testing.TB) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	heartbeat := Heartbeat{
		Instance:     "pnw-sea-entry-117",
		Session:      1 << 60,
		Domain:       "pnw-sea",
		Address:      "10.20.30.40:7000",
		Loaded:       true,
		Applied:      1 << 40,
		Digest:       1 << 60,
		FleetVersion: 1 << 40,
	}
	require.NoError(tb, encoder.Encode(heartbeat))
	first := buffer.Len()
	require.NoError(tb, encoder.Encode(heartbeat))
	return buffer.Len() - first
}
