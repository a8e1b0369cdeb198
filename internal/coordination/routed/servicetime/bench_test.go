package servicetime

import (
	"testing"
	"time"
)

// BenchmarkRequest is what a request costs: two estimates, and the times of its answer.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	times, now := NewTimes(), start
	for n := range b.N {
		now = now.Add(10 * time.Millisecond)
		times.FirstBytes(now, streams)
		times.FirstBytes(now, streams)
		times.AddFirstBytes(now, streams, time.Duration(n%300)*time.Millisecond)
		times.AddAnswer(now, "s", time.Duration(n%900)*time.Millisecond)
	}
}

// BenchmarkService is the memory of a service with one kind of requests.
func BenchmarkService(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		times := NewTimes()
		times.AddFirstBytes(start, streams, time.Second)
		times.AddAnswer(start, "s", time.Second)
	}
}
