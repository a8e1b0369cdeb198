package daemon

import (
	"fmt"
	"testing"
	"time"

	"merlintiller/internal/coordination/journal"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
)

// BenchmarkFleetView measures the queries that an instance makes many times a second, at
// several numbers of targets.
func BenchmarkFleetView(b *testing.B) {
	for _, targets := range []int{10, 100, 850} {
		v := newFleetView(targets)
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				v.Targets()
			}
		})
		b.Run(fmt.Sprintf("capacities=%d", targets), func(b *testing.B) {
			for b.Loop() {
				for service := range services {
					v.Capacity(serviceName(service))
				}
			}
		})
	}
}

const services = 38

func serviceName(n int) protocol.ServiceName {
	return protocol.ServiceName(fmt.Sprintf("service-%d", n))
}

func newFleetView(targets int) *fleetView {
	router := routing.NewRouter(routing.Options{Domain: "d"})
	var listing external.Listing
	for i := range targets {
		listing.Targets = append(listing.Targets, external.ListedTarget{
			ID: protocol.TargetID(fmt.Sprintf("target-%d", i)), Service: serviceName(i % services),
			Domain: "d", Address: "127.0.0.1:1",
		})
	}
	router.ApplyListing(listing)
	for _, target := range listing.Targets {
		router.ApplyReport(external.Load{Target: target.ID, Running: 3, AgeMS: time.Second.Milliseconds()})
	}
	return &fleetView{router: router, journal: journal.New(journal.Options{Log: memlog.New(memlog.Options{})})}
}
