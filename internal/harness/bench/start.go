package bench

import (
	"context"
	"fmt"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/platformhttp"
)

const (
	liveItems = 1_000_000
	// itemsPerJob is the size of the largest jobs that the requirements (letter 1)
	// name, rounded to full chunks.
	itemsPerJob = 250_112
)

// Start measures how long a new instance takes to replay a stream with a million
// unfinished items, and its memory afterwards.
func Start(ctx context.Context, opts Options) error {
	empty, err := measureStart(ctx, opts, 0)
	if err != nil {
		return err
	}
	full, err := measureStart(ctx, opts, liveItems)
	if err != nil {
		return err
	}
	opts.print(Measure{Name: "start.replay_1m_s", Unit: "s", Baseline: &empty.seconds, Now: full.seconds,
		Note: fmt.Sprintf("baseline_is=empty_log rss_mb=%s", number(full.megabytes))})
	perHundredThousand := (full.megabytes - empty.megabytes) / (liveItems / 100_000)
	opts.print(Measure{Name: "state.mb_per_100k_items", Unit: "MB", Now: perHundredThousand, Note: "resident memory of the process"})
	return nil
}

type startResult struct{ seconds, megabytes float64 }

func measureStart(ctx context.Context, opts Options, items int) (startResult, error) {
	f, err := harness.StartFleet(ctx, harness.Options{
		Dir: fmt.Sprintf("%s-%d", opts.Dir, items), Bin: opts.Bin, Domains: domains[:1],
		PlatformArgs: []string{"--appends-per-second=0"},
	})
	if err != nil {
		return startResult{}, err
	}
	defer f.Kill()
	entries, err := appendJobs(ctx, platformhttp.New(f.Addresses[domains[0]]), items)
	if err != nil {
		return startResult{}, err
	}
	began := time.Now()
	if err := f.AddInstance("measured", domains[0]); err != nil {
		return startResult{}, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return startResult{}, err
	}
	took := seconds(time.Since(began))
	applied, err := f.Instances[0].Counter("journal", "entries_applied")
	if err != nil {
		return startResult{}, err
	}
	if applied < float64(entries) {
		return startResult{}, fmt.Errorf("instance ready after applying %g of %d entries", applied, entries)
	}
	usage, err := f.Instances[0].Process.Usage()
	if err != nil {
		return startResult{}, err
	}
	return startResult{seconds: took, megabytes: float64(usage.ResidentBytes) / 1e6}, nil
}

// appendJobs appends jobs with their claims, as an instance would, and returns the
// number of entries.
func appendJobs(ctx context.Context, log *platformhttp.Client, items int) (entries int, err error) {
	const writer = protocol.SessionID(1)
	seq := uint64(0)
	put := func(rec protocol.Record) error {
		seq++
		rec.ID = protocol.RecordID{Session: writer, Seq: seq}
		data, err := protocol.EncodeFrame(protocol.Frame{Records: []protocol.Record{rec}})
		if err != nil {
			return err
		}
		entries++
		_, err = log.Append(ctx, protocol.ControlStream, data)
		return err
	}
	if items == 0 {
		return 0, nil
	}
	if err := put(protocol.Record{SessionOpen: &protocol.SessionOpen{Instance: "gone", Domain: domains[0]}}); err != nil {
		return entries, err
	}
	for n := 0; n < items; n += itemsPerJob {
		job := protocol.JobID(fmt.Sprintf("batch_%d", n))
		chunks := itemsPerJob / protocol.MaxChunkItems
		if err := put(protocol.Record{JobSubmit: manifest(job, chunks)}); err != nil {
			return entries, err
		}
		for chunk := range chunks {
			if err := put(protocol.Record{ChunkClaim: &protocol.ChunkClaim{Job: job, Chunks: []int{chunk}}}); err != nil {
				return entries, err
			}
		}
	}
	return entries, nil
}

func manifest(job protocol.JobID, chunks int) *protocol.JobSubmit {
	now := time.Now()
	submit := &protocol.JobSubmit{
		Job: job, Organisation: organisation, Endpoint: "/v1/chat/completions",
		Created: now, Deadline: now.Add(24 * time.Hour),
	}
	for chunk := range chunks {
		ref := protocol.ChunkRef{Offset: protocol.Offset(chunk), Items: protocol.MaxChunkItems}
		submit.Chunks = append(submit.Chunks, ref)
	}
	return submit
}
