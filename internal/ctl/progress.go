package ctl

import (
	"fmt"
	"strings"
	"time"
)

// Constants for waiting for a job.
const (
	// jobPollInterval is how often the state of a job is polled. A job lasts
	// minutes, and 2,000 jobs with a waiting client cause 1,000 cheap calls a
	// second across the fleet.
	jobPollInterval  = 2 * time.Second
	progressBarWidth = 40
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
		j, err = waitForEnd(env, j)
	}
	if err != nil {
		return err
	}
	next := "tillerctl batch results " + c.Job
	if !j.ended() {
		next = "tillerctl batch status " + c.Job + " --wait"
	}
	return env.show(result{data: j, table: jobTable(j), summary: fmt.Sprintf("job %s is %s", j.ID, j.Status), next: next})
}

// waitForEnd polls until the job has ended. It continues after a poll that found no
// instance available: the next poll may reach one.
func waitForEnd(env *Env, j job) (job, error) {
	for !j.ended() {
		drawProgressBar(env, j)
		select {
		case <-env.Context.Done():
			return j, fail(ExitUnavailable, "run it again with a larger --timeout; the job keeps running", "the job had not ended when the command stopped waiting")
		case <-env.After(jobPollInterval):
		}
		polled, err := fetchJob(env, j.ID)
		switch {
		case err == nil:
			j = polled
		case asFailure(err).Exit != ExitUnavailable:
			return j, err
		}
	}
	drawProgressBar(env, j)
	if env.Terminal {
		fmt.Fprintln(env.Stderr)
	}
	return j, nil
}

func drawProgressBar(env *Env, j job) {
	if !env.Terminal || j.Counts.Total == 0 {
		return
	}
	done := j.Counts.Completed + j.Counts.Failed
	cells := progressBarWidth * done / j.Counts.Total
	fmt.Fprintf(env.Stderr, "\r[%s%s] %d/%d %s ", strings.Repeat("#", cells), strings.Repeat(".", progressBarWidth-cells), done, j.Counts.Total, j.Status)
}
