package ctl

import (
	"fmt"
	"strings"
	"time"
)

// Constants of following a job.
const (
	// lookEvery is the period of asking for a job's state. A job lasts
	// minutes, and 2,000 followed jobs are then 1,000 light calls a second
	// over the fleet.
	lookEvery = 2 * time.Second
	barCells  = 40
)

type batchStatus struct {
	Job  string `arg:"" help:"Id of the job."`
	Wait bool   `help:"Wait until the job has ended, with a progress bar on a terminal. Raise --timeout for long jobs."`
}

// Help shows examples.
func (batchStatus) Help() string {
	return "Example: tillerctl batch status batch_7f3a --wait --timeout 8h"
}

// Run shows the job.
func (c *batchStatus) Run(env *Env) error {
	j, err := fetchJob(env, c.Job)
	if err == nil && c.Wait {
		j, err = follow(env, j)
	}
	if err != nil {
		return err
	}
	next := "tillerctl batch results " + c.Job
	if !j.ended() {
		next = "tillerctl batch status " + c.Job + " --wait"
	}
	return env.show(result{data: j, table: jobTable(j), did: fmt.Sprintf("job %s is %s", j.ID, j.Status), next: next})
}

// follow asks until the job has ended. One failed look is not the end: the
// next one may reach another instance.
func follow(env *Env, j job) (job, error) {
	for !j.ended() {
		drawBar(env, j)
		select {
		case <-env.Context.Done():
			return j, fail(ExitUnavailable, "run it again with a larger --timeout; the job goes on", "the job had not ended in time")
		case <-env.After(lookEvery):
		}
		seen, err := fetchJob(env, j.ID)
		switch {
		case err == nil:
			j = seen
		case asFailure(err).Exit != ExitUnavailable:
			return j, err
		}
	}
	drawBar(env, j)
	if env.Terminal {
		fmt.Fprintln(env.Stderr)
	}
	return j, nil
}

func drawBar(env *Env, j job) {
	if !env.Terminal || j.Counts.Total == 0 {
		return
	}
	done := j.Counts.Completed + j.Counts.Failed
	cells := barCells * done / j.Counts.Total
	fmt.Fprintf(env.Stderr, "\r[%s%s] %d/%d %s ", strings.Repeat("#", cells), strings.Repeat(".", barCells-cells), done, j.Counts.Total, j.Status)
}
