package fleetview

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/state/roster"
)

// digestedTarget has the fields of roster.Target that are part of the digest of a list,
// and those that earlier releases digest with their zero values. Its field names, their
// order and their types must stay as they are: lists of different releases would differ
// otherwise, and instances would fetch them from each other again and again.
type digestedTarget struct {
	ID, Service, Address, Domain string
	Slots                        int
	Leaving                      bool
	Started                      int64
	WarmUp                       time.Duration
	Warming                      struct {
		Until   time.Time
		Assumed bool
		Lasts   time.Duration
		Rate    float64
	}
	HealthPath string
}

// digestOf returns the digest of a list. It leaves out the fields that change whenever
// an entry is renewed.
func digestOf(list []roster.Target) uint64 {
	digest := xxhash.New()
	for _, t := range list {
		_, _ = fmt.Fprintf(digest, "%+v\n", digestedTarget{
			ID: t.ID, Service: t.Service, Address: t.Address, Domain: t.Domain,
			Slots: t.Slots, Leaving: t.Leaving, Started: t.Started,
		})
	}
	return digest.Sum64()
}
