package mesh

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/transport/peer"
)

// BenchmarkExchange is one message to another instance with its answer, over
// loopback, with the places and counts of a busy instance: 32 microseconds and 77
// allocations for both sides together on one processor.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(listener, nil, log.NewNopLogger())
	client := peer.NewClient(nil)
	defer client.Close()
	there := New(Config{Self: instance("a", 1), Caller: client, Logger: log.NewNopLogger()})
	local := &told{own: quota.Counts{}, of: map[string]quota.Counts{}}
	for i := range 8 {
		local.own[fmt.Sprint("organisation-", i)] = int64(i)
	}
	there.SetDelegate(local)
	if err := server.Register(ServiceName, there.Receiver()); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(b.Context()) }()
	beat := Heartbeat{From: instance("a", 2), Admitted: local.own, Informed: true, Partitions: []int{1, 2}}
	for i := range 10 {
		beat.Held = append(beat.Held, placement.Held{Target: fmt.Sprint("i-9c9397eba", i), Online: 2, Batch: 1})
	}
	for b.Loop() {
		beat.Seq++
		var reply Heartbeat
		if err := client.Call(context.Background(), listener.Addr().String(), methodExchange, &beat, &reply); err != nil {
			b.Fatal(err)
		}
	}
}
