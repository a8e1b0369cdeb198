package ctl

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"
)

// Paths of the batch API for callers.
const (
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
)

type batchCommands struct {
	Submit  batchSubmit  `cmd:"" help:"Submit a batch job."`
	Status  batchStatus  `cmd:"" help:"Show a job, or wait for its end."`
	List    batchList    `cmd:"" help:"List the organisation's jobs."`
	Cancel  batchCancel  `cmd:"" help:"Cancel a job. Results produced so far stay readable."`
	Results batchResults `cmd:"" help:"Fetch the results of a job."`
}

// job is a batch job in the form of the callers' API.
type job struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	Endpoint     string `json:"endpoint"`
	InputFileID  string `json:"input_file_id"`
	OutputFileID string `json:"output_file_id,omitempty"`
	ErrorFileID  string `json:"error_file_id,omitempty"`
	CreatedAt    int64  `json:"created_at"`
	ExpiresAt    int64  `json:"expires_at,omitempty"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Metadata map[string]string `json:"metadata,omitempty"`
}

// ended reports whether a job's state is final.
func (j job) ended() bool {
	switch j.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	default:
		return false
	}
}

func jobTable(jobs ...job) table {
	t := table{heading: []string{"JOB", "STATUS", "DONE", "FAILED", "TOTAL", "DUE"}}
	for _, j := range jobs {
		due := "-"
		if j.ExpiresAt > 0 {
			due = time.Unix(j.ExpiresAt, 0).UTC().Format(time.RFC3339)
		}
		t.add(j.ID, j.Status, fmt.Sprint(j.Counts.Completed), fmt.Sprint(j.Counts.Failed), fmt.Sprint(j.Counts.Total), due)
	}
	return t
}

type batchSubmit struct {
	File     string        `arg:"" help:"JSONL file, one request a line." type:"existingfile"`
	Endpoint string        `help:"Path that each item is sent to." default:"/v1/chat/completions"`
	Within   time.Duration `help:"Time to finish the job." default:"24h"`
	Again    string        `help:"Any text that makes the same file a new job. Without it, submitting the same file to the same endpoint again returns the first job."`
}

// Help shows examples.
func (batchSubmit) Help() string {
	return joinLines("The idempotency key is derived from the file, the endpoint and --again, so running the command again",
		"after a lost answer finds the first job and starts no second one.",
		"", "Example: tillerctl batch submit reports.jsonl --within 8h --instance 10.0.0.1:8001")
}

// Run uploads the file and submits the job.
func (c *batchSubmit) Run(env *Env) error {
	key, err := c.idempotencyKey()
	if err != nil {
		return fail(ExitBadInput, "give a file that can be read", "%v", err)
	}
	file, err := upload(env, c.File)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]string{
		"input_file_id":     file,
		"endpoint":          c.Endpoint,
		"completion_window": c.Within.String(),
	})
	if err != nil {
		return err
	}
	var submitted job
	err = env.Caller.JSON(env.Context, request{
		method:     http.MethodPost,
		path:       pathBatches,
		header:     http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {key}},
		body:       body,
		idempotent: true,
	}, &submitted)
	if err != nil {
		return err
	}
	return env.show(result{data: submitted, table: jobTable(submitted),
		summary: fmt.Sprintf("job %s is accepted with %d items", submitted.ID, submitted.Counts.Total),
		next:    "tillerctl batch status " + submitted.ID + " --wait"})
}

// idempotencyKey returns the same key for the same file, endpoint and --again.
func (c *batchSubmit) idempotencyKey() (string, error) {
	file, err := os.Open(c.File)
	if err != nil {
		return "", err
	}
	defer file.Close()
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%s\n", c.Endpoint, c.Again)
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return "ctl-" + hex.EncodeToString(hash.Sum(nil)[:16]), nil
}

func fetchJob(env *Env, id string) (job, error) {
	var j job
	err := env.Caller.Get(env.Context, pathBatches+"/"+url.PathEscape(id), &j)
	return j, err
}

type batchList struct{}

// Help shows examples.
func (batchList) Help() string { return "Example: tillerctl batch list --instance 10.0.0.1:8001" }

// Run lists the jobs.
func (c *batchList) Run(env *Env) error {
	var page struct {
		Data []job `json:"data"`
	}
	if err := env.Caller.Get(env.Context, pathBatches, &page); err != nil {
		return err
	}
	return env.show(result{data: page.Data, table: jobTable(page.Data...), summary: fmt.Sprintf("%d jobs", len(page.Data))})
}

type batchCancel struct {
	Job string `arg:"" help:"Id of the job."`
}

// Help shows examples.
func (batchCancel) Help() string {
	return joinLines("Safe to run again.", "", "Example: tillerctl batch cancel batch_7f3a")
}

// Run cancels the job.
func (c *batchCancel) Run(env *Env) error {
	var j job
	path := pathBatches + "/" + url.PathEscape(c.Job) + "/cancel"
	if err := env.Caller.JSON(env.Context, request{method: http.MethodPost, path: path, idempotent: true}, &j); err != nil {
		return err
	}
	return env.show(result{data: j, table: jobTable(j), summary: fmt.Sprintf("job %s is %s", c.Job, j.Status),
		next: "tillerctl batch results " + c.Job + " fetches the results produced so far"})
}

type batchResults struct {
	Job  string `arg:"" help:"Id of the job."`
	To   string `help:"File to write; without it the results go to the standard output." placeholder:"FILE"`
	Fail bool   `name:"errors" help:"Fetch the failed items instead of the results."`
}

// Help shows examples.
func (batchResults) Help() string {
	return "Example: tillerctl batch results batch_7f3a --to reports-out.jsonl"
}

// Run fetches the results.
func (c *batchResults) Run(env *Env) error {
	j, err := fetchJob(env, c.Job)
	if err != nil {
		return err
	}
	file := j.OutputFileID
	if c.Fail {
		file = j.ErrorFileID
	}
	if file == "" {
		return fail(ExitFailed, "tillerctl batch status "+c.Job+" --wait", "job %s is %s and has no such result file", c.Job, j.Status)
	}
	path := pathFiles + "/" + url.PathEscape(file) + "/content"
	lines, err := download(env, request{method: http.MethodGet, path: path, idempotent: true}, c.To)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Stderr, "%d results of job %s, which is %s\n", lines, c.Job, j.Status)
	return nil
}
