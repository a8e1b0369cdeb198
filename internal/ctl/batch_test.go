package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// jobServer is a fake listener for callers. It stores jobs by their idempotency key.
type jobServer struct {
	jobs            map[string]*job
	uploads         []string
	loseAnswers     int
	jobRequests     int
	truncateContent bool
}

func newJobServer(t *testing.T) (*jobServer, string) {
	s := &jobServer{jobs: map[string]*job{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

func (s *jobServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer caller-secret":
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"error":{"code":"unauthorized","message":"the key is not known","run_state":"not_run"}}`)
	case r.Method == "POST" && r.URL.Path == pathFiles:
		file, _, err := r.FormFile("file")
		if err != nil || r.FormValue("purpose") != "batch" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		data, _ := io.ReadAll(file)
		s.uploads = append(s.uploads, string(data))
		_, _ = io.WriteString(w, `{"id":"file-1"}`)
	case r.Method == "POST" && r.URL.Path == pathBatches:
		s.submit(w, r)
	case strings.HasSuffix(r.URL.Path, "/content"):
		if s.truncateContent {
			_, _ = io.WriteString(w, "{\"custom_id\":\"a\"}\n")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n")
	default:
		s.serveJob(w, r)
	}
}

func (s *jobServer) submit(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if s.jobs[key] == nil {
		j := &job{ID: "batch_1", Status: "in_progress"}
		j.Counts.Total = 2
		s.jobs[key] = j
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(s.jobs[key])
}

func (s *jobServer) serveJob(w http.ResponseWriter, r *http.Request) {
	s.jobRequests++
	for _, j := range s.jobs {
		if strings.HasSuffix(r.URL.Path, "/cancel") {
			j.Status = "cancelled"
		}
		if s.jobRequests == 3 {
			j.Status, j.Counts.Completed, j.OutputFileID = "completed", 2, "file-out"
		}
		if r.URL.Path == pathBatches {
			_ = json.NewEncoder(w).Encode(map[string]any{"data": []*job{j}})
			return
		}
		_ = json.NewEncoder(w).Encode(j)
		return
	}
}

func writeInputFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "in.jsonl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// The job is accepted and the answer is lost. The caller's script sees exit code 4
// and runs the command again. The command has to find the first job: a second job
// would be run and billed twice.
func TestResubmittedFileIsTheSameJob(t *testing.T) {
	server, address := newJobServer(t)
	path := writeInputFile(t, "{}\n{}\n")
	flags := []string{"--instance", address, "--caller-secret", "caller-secret"}
	submit := append([]string{"batch", "submit", path}, flags...)
	server.loseAnswers = 1
	got := run(submit...)
	require.Equal(t, ExitMayHaveTakenEffect, got.code, got.stderr)
	again := run(submit...)
	require.Equal(t, ExitOK, again.code, again.stderr)
	require.Len(t, server.jobs, 1)
	require.Contains(t, again.stderr, "next: tillerctl batch status batch_1 --wait")
	require.Equal(t, "{}\n{}\n", server.uploads[0])

	run(append(submit, "--again", "monday")...)
	require.Len(t, server.jobs, 2)
	require.Contains(t, run(append([]string{"batch", "list"}, flags...)...).stdout, "batch_1")
	require.Contains(t, run(append([]string{"batch", "cancel", "batch_1"}, flags...)...).stdout, "cancelled")
	require.Equal(t, ExitFailed, run("batch", "list", "--instance", address, "--caller-secret", "wrong").code)
}

func TestResultsAreWrittenToAFile(t *testing.T) {
	server, address := newJobServer(t)
	flags := []string{"--instance", address, "--caller-secret", "caller-secret"}
	run(append([]string{"batch", "submit", writeInputFile(t, "{}\n")}, flags...)...)
	to := filepath.Join(t.TempDir(), "out.jsonl")
	fetch := append([]string{"batch", "results", "batch_1", "--to", to}, flags...)
	early := run(fetch...)
	require.Equal(t, ExitFailed, early.code)
	require.Contains(t, early.stderr, "next: tillerctl batch status batch_1 --wait")
	server.jobRequests = 2
	late := run(fetch...)
	require.Equal(t, ExitOK, late.code, late.stderr)
	data, err := os.ReadFile(to)
	require.NoError(t, err)
	require.Equal(t, 2, bytes.Count(data, []byte("\n")))
}

// The instance dies while it sends the results. A script that waits for the output file
// would take a file with only a part of the results for all of them.
func TestTruncatedResultsLeaveNoFile(t *testing.T) {
	server, address := newJobServer(t)
	flags := []string{"--instance", address, "--caller-secret", "caller-secret"}
	run(append([]string{"batch", "submit", writeInputFile(t, "{}\n")}, flags...)...)
	server.jobRequests, server.truncateContent = 2, true
	dir := t.TempDir()
	got := run(append([]string{"batch", "results", "batch_1", "--to", filepath.Join(dir, "out.jsonl")}, flags...)...)
	require.Equal(t, ExitUnavailable, got.code)
	require.Contains(t, got.stderr, "the answer was truncated")
	left, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Empty(t, left)
}

// handlerTransport answers calls without a network, so that tests can run in the fake
// time of synctest.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestWaitShowsProgressUntilJobEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &jobServer{jobs: map[string]*job{"k": {ID: "batch_1", Status: "in_progress"}}}
		server.jobs["k"].Counts.Total = 2
		var stdout, stderr bytes.Buffer
		client := &Client{BaseURLs: []string{"http://a"}, Secret: "caller-secret", HTTP: &http.Client{Transport: handlerTransport{server}}}
		env := &Env{Context: context.Background(), Stdout: &stdout, Stderr: &stderr, Terminal: true, Output: OutputTable,
			Caller: client, Now: time.Now, After: time.After}
		start := time.Now()
		require.NoError(t, (&batchStatus{Job: "batch_1", Wait: true}).Run(env))
		require.Equal(t, 2*jobPollInterval, time.Since(start))
		require.Contains(t, stderr.String(), "] 0/2 in_progress")
		require.Contains(t, stderr.String(), strings.Repeat("#", progressBarWidth)+"] 2/2 completed")
		require.Contains(t, stdout.String(), "completed")
	})
}
