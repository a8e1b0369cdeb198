package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/standin/target"
)

func itemID(n int) string { return fmt.Sprintf("report-%05d", n) }

func itemPrompt(n int) string { return fmt.Sprintf("annual report of building %d", n) }

// submit writes the input file and submits it as a job.
func (d *demo) submit(ctx context.Context) (string, error) {
	var lines bytes.Buffer
	for n := range batchItems {
		body := harness.ChatBody(model, itemPrompt(n), batchTokens, false)
		fmt.Fprintf(&lines, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", itemID(n), body)
	}
	if err := os.WriteFile(d.inputFile(), lines.Bytes(), 0o600); err != nil {
		return "", err
	}
	began := time.Now()
	args := append([]string{"batch", "submit", d.inputFile(), "--output=json"}, d.fleet.CallerFlags()...)
	out, err := d.fleet.Ctl(ctx, d.secret, args...)
	if err != nil {
		return "", err
	}
	var job struct{ ID string }
	if err := json.Unmarshal([]byte(out), &job); err != nil || job.ID == "" {
		return "", fmt.Errorf("batch submit printed %q: %w", out, err)
	}
	d.printf("job accepted items=%d took=%s", batchItems, time.Since(began).Round(time.Millisecond))
	return job.ID, nil
}

// jobState holds the fields of a job that the demonstration reads.
type jobState struct {
	Status        string `json:"status"`
	RequestCounts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

func (d *demo) job(ctx context.Context, id string) (jobState, error) {
	args := append([]string{"batch", "status", id, "--output=json"}, d.fleet.CallerFlags()...)
	out, err := d.fleet.Ctl(ctx, d.secret, args...)
	if err != nil {
		return jobState{}, err
	}
	var state jobState
	return state, json.Unmarshal([]byte(out), &state)
}

// killInstanceAndTarget kills an instance and a target as soon as killAfterItems
// items of the job are completed.
func (d *demo) killInstanceAndTarget(ctx context.Context, job string) error {
	for {
		state, err := d.job(ctx, job)
		if err != nil {
			return err
		}
		if state.RequestCounts.Completed >= killAfterItems || state.Status == "completed" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	instance := d.fleet.Instances[0]
	target := d.fleet.Targets[1]
	instance.Process.Kill()
	target.Process.Kill()
	d.printf("killed instance=%s target=%s", instance.ID, target.Listed.ID)
	return nil
}

// finishJob waits until the job ends and checks its results.
func (d *demo) finishJob(ctx context.Context, job string) error {
	began := time.Now()
	for {
		state, err := d.job(ctx, job)
		if err != nil {
			return err
		}
		if state.Status != "in_progress" && state.Status != "finalizing" && state.Status != "validating" {
			d.printf("job ended status=%s completed=%d failed=%d after_kill=%s", state.Status,
				state.RequestCounts.Completed, state.RequestCounts.Failed, time.Since(began).Round(time.Millisecond))
			return d.checkResults(ctx, job)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkResults reads the output file and checks that every item has exactly one
// result with the complete expected answer.
func (d *demo) checkResults(ctx context.Context, job string) error {
	path := filepath.Join(d.Dir, "results.jsonl")
	args := append([]string{"batch", "results", job, "--to=" + path}, d.fleet.CallerFlags()...)
	if _, err := d.fleet.Ctl(ctx, d.secret, args...); err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	seen := map[string]int{}
	mismatched := 0
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		id, complete := checkLine(scanner.Bytes())
		seen[id]++
		if !complete {
			mismatched++
		}
	}
	return d.checkCounts(seen, mismatched)
}

func checkLine(line []byte) (id string, complete bool) {
	var result struct {
		CustomID string `json:"custom_id"`
		Response struct {
			Body struct {
				Choices []struct {
					Message struct{ Content string }
				}
			}
		}
	}
	if json.Unmarshal(line, &result) != nil || len(result.Response.Body.Choices) != 1 {
		return result.CustomID, false
	}
	var n int
	if _, err := fmt.Sscanf(strings.TrimPrefix(result.CustomID, "report-"), "%d", &n); err != nil {
		return result.CustomID, false
	}
	want := target.AnswerText(target.ChatPrompt(itemPrompt(n)), batchTokens)
	return result.CustomID, result.Response.Body.Choices[0].Message.Content == want
}

func (d *demo) checkCounts(seen map[string]int, mismatched int) error {
	missing, doubled := 0, 0
	for n := range batchItems {
		switch count := seen[itemID(n)]; {
		case count == 0:
			missing++
		case count > 1:
			doubled++
		}
	}
	d.printf("results items=%d missing=%d doubled=%d wrong=%d", len(seen), missing, doubled, mismatched)
	if missing+doubled+mismatched > 0 {
		return fmt.Errorf("batch: %d missing, %d doubled, %d mismatched of %d", missing, doubled, mismatched, batchItems)
	}
	return nil
}
