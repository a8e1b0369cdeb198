package origin

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/state/roster"
)

// The target size, see DEVELOPERS.md.
const (
	targetInstances     = 340
	targetDomains       = 4
	targetStreamsPerSec = 3400
	// controlBytesPerSec is what control may send or receive at one instance.
	controlBytesPerSec = 16 << 10
)

// tellBytes returns the size in bytes of a call with one record and of its answer, on a connection
// that has carried such a call before.
func tellBytes(t testing.TB) int {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	size := 0
	for seq := range uint64(2) {
		wire.Reset()
		args := TellArgs{Records: []Record{{Stream: "9c41d07be2a35f68", Version: "v1.2", Age: 300 * time.Microsecond}}}
		for _, message := range []any{
			rpc.Request{ServiceMethod: methodTell, Seq: 1000 + seq}, args,
			rpc.Response{ServiceMethod: methodTell, Seq: 1000 + seq}, struct{ Unused int }{},
		} {
			require.NoError(t, encoder.Encode(message))
		}
		size = wire.Len()
	}
	return size
}

// targetFleet returns the instances of the target size.
func targetFleet() (list []mesh.Instance) {
	for n := range targetInstances {
		list = append(list, mesh.Instance{
			Name: fmt.Sprintf("entry-%03d", n), Domain: fmt.Sprint("d", n%targetDomains), Address: fmt.Sprint("entry-", n), Strength: 126 + n%3,
		})
	}
	return list
}

// Guards against records of streams that take more than control may, at the target size while
// several versions serve, at the instance that gets the most of them.
func TestRecordsAtTargetSizeFitIntoControl(t *testing.T) {
	const seconds = 3
	list := targetFleet()
	received, partners := map[string]int{}, map[string]map[string]bool{}
	for n := range targetStreamsPerSec * seconds {
		from := list[n%len(list)]
		for _, holder := range toldHolders(list, fmt.Sprintf("%016x", n*2654435761), from.Domain) {
			if holder.Name == from.Name {
				continue
			}
			received[holder.Name]++
			if partners[from.Name] == nil {
				partners[from.Name] = map[string]bool{}
			}
			partners[from.Name][holder.Name] = true
		}
	}
	most, total, connections := 0, 0, 0
	for _, count := range received {
		most, total = max(most, count), total+count
	}
	for _, to := range partners {
		connections = max(connections, len(to))
	}
	perRecord := tellBytes(t)
	mean := total * perRecord / seconds / len(list)
	t.Logf("%d bytes a record and instance; sent %d bytes/s by each instance, received at most %d; %d instances keep records, %d connections at most from one",
		perRecord, mean, most*perRecord/seconds, len(received), connections)
	require.Less(t, mean+most*perRecord/seconds, controlBytesPerSec)
}

// noCaller is a caller whose calls have no effect.
type noCaller struct{ list []mesh.Instance }

func (c noCaller) AllUp() []mesh.Instance { return c.list }

// BenchmarkBegan measures what the beginning of a stream costs the instance that serves it, at the
// target size, without the calls themselves.
func BenchmarkBegan(b *testing.B) {
	for _, versions := range []int{1, 2} {
		b.Run(fmt.Sprint(versions, "-versions"), func(b *testing.B) {
			list := targetFleet()
			r := New(Options{Self: list[0], Peers: noCaller{list[1:]}, ListAge: func() time.Duration { return 0 }, Logger: log.NewNopLogger()})
			var targets []roster.Target
			for v := range versions {
				targets = append(targets, roster.Target{ID: fmt.Sprint(v), Service: "s", Version: fmt.Sprint("v", v)})
			}
			r.SetTargets(targets)
			now := time.Now()
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				stream := fmt.Sprintf("%016x", n)
				r.mu.Lock()
				r.records.add(now, stream, record{service: "s", version: "v0", begunAt: now, own: true})
				if _, only := r.onlyVersion(now, 0, "s"); !only {
					r.others(toldHolders(r.instances(), stream, list[0].Domain))
				}
				r.mu.Unlock()
			}
		})
	}
}
