package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
)

// client sends requests to the instances in turn until one answers, as a caller
// behind a load balancer does.
type client struct {
	fleet        *testFleet
	organisation protocol.OrganisationID
	next         int
	// notRun holds the attempts that were rejected as not run.
	notRun map[string]bool
	// acknowledged holds the ids of the jobs that were acknowledged.
	acknowledged map[protocol.JobID]bool
}

func newClient(tf *testFleet) *client {
	return &client{fleet: tf, organisation: cascadia, notRun: map[string]bool{}, acknowledged: map[protocol.JobID]bool{}}
}

// nextInstance picks the instance for the next request.
func (c *client) nextInstance() *node {
	live := c.fleet.live()
	if len(live) == 0 {
		panic("no instance is running")
	}
	n := live[c.next%len(live)]
	c.next++
	return n
}

// requestTimeout is how long a client waits for an answer before it tries another
// instance.
const requestTimeout = 15 * time.Second

// sendRequest makes a request through an instance. ok is false if the caller got
// no answer because the instance crashed or exceeded requestTimeout.
func sendRequest[T any](n *node, request func(context.Context) T) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	got := make(chan T, 1)
	go func() { got <- request(ctx) }()
	select {
	case answer = <-got:
		return answer, n.alive()
	case <-ctx.Done():
		return answer, false
	}
}

// pause waits for the RetryAfter of a refusal, or for one second without one.
func (c *client) pause(refusal *protocol.Refusal) {
	wait := time.Second
	if refusal != nil && refusal.RetryAfter > 0 {
		wait = refusal.RetryAfter
	}
	<-time.After(wait)
}

// input returns an input file with numbered items.
func input(items int) []byte {
	var file bytes.Buffer
	encoder := json.NewEncoder(&file)
	for i := range items {
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"riser %d"}]}`, model, i)
		_ = encoder.Encode(batch.InputLine{CustomID: customID(i), Method: "POST", URL: path, Body: json.RawMessage(body)})
	}
	return file.Bytes()
}

func customID(i int) string { return fmt.Sprintf("report-%d", i) }

type fileAnswer struct {
	file    batch.File
	refusal *protocol.Refusal
}

type jobAnswer struct {
	job     batch.Job
	refusal *protocol.Refusal
}

// maxAttempts limits the attempts of a client for one request.
const maxAttempts = 60

// submit uploads a file and submits a job until it is acknowledged. All attempts
// have the same idempotency key. The metadata holds the number of the attempt.
func (c *client) submit(key string, items int, window string) (batch.Job, error) {
	var file *batch.File
	for try := range maxAttempts {
		n := c.nextInstance()
		if file == nil {
			file = c.upload(n, items)
			continue
		}
		request := batch.JobRequest{
			InputFile:        file.ID,
			Endpoint:         path,
			CompletionWindow: window,
			Metadata:         map[string]string{"try": fmt.Sprint(try)},
		}
		answer, ok := sendRequest(n, func(ctx context.Context) jobAnswer {
			job, refusal := n.service.CreateBatch(ctx, c.organisation, request, key)
			return jobAnswer{job, refusal}
		})
		if ok && answer.refusal == nil {
			c.acknowledged[answer.job.ID] = true
			return answer.job, nil
		}
		c.recordRefusal(ok, answer.refusal, fmt.Sprint(try))
		if ok && answer.refusal.Code == protocol.CodeGone {
			file = nil
		}
		c.pause(answer.refusal)
	}
	return batch.Job{}, fmt.Errorf("no job after %d attempts", maxAttempts)
}

// submitInterleaved submits a job. If the interleaved fault is planned, it sends
// the same request through another instance at the same time.
func (c *client) submitInterleaved(key string, items int, window string) (batch.Job, error) {
	if !c.fleet.injects(interleaved) {
		return c.submit(key, items, window)
	}
	other := newClient(c.fleet)
	other.next = c.next + 1
	var wait sync.WaitGroup
	var otherErr error
	wait.Go(func() { _, otherErr = other.submit(key, items, window) })
	job, err := c.submit(key, items, window)
	wait.Wait()
	maps.Copy(c.acknowledged, other.acknowledged)
	return job, errors.Join(err, otherErr)
}

func (c *client) recordRefusal(answered bool, refusal *protocol.Refusal, try string) {
	if answered && refusal != nil && refusal.Run == protocol.NotRun {
		c.notRun[try] = true
	}
}

func (c *client) upload(n *node, items int) *batch.File {
	answer, ok := sendRequest(n, func(ctx context.Context) fileAnswer {
		file, refusal := n.service.UploadFile(ctx, c.organisation, "reports.jsonl", bytes.NewReader(input(items)))
		return fileAnswer{file, refusal}
	})
	if !ok || answer.refusal != nil {
		c.pause(answer.refusal)
		return nil
	}
	return &answer.file
}

// cancel sends cancel requests for a job until one is confirmed.
func (c *client) cancel(id protocol.JobID) (batch.Job, error) {
	for range maxAttempts {
		n := c.nextInstance()
		answer, ok := sendRequest(n, func(ctx context.Context) jobAnswer {
			job, refusal := n.service.CancelBatch(ctx, c.organisation, id)
			return jobAnswer{job, refusal}
		})
		if ok && answer.refusal == nil {
			return answer.job, nil
		}
		c.pause(answer.refusal)
	}
	return batch.Job{}, fmt.Errorf("cancel not confirmed after %d attempts", maxAttempts)
}

type contentAnswer struct {
	data    []byte
	refusal *protocol.Refusal
	err     error
}

// content requests a file until it is received completely. It stops at a refusal
// without a retry time.
func (c *client) content(id string) ([]byte, *protocol.Refusal, error) {
	for range maxAttempts {
		n := c.nextInstance()
		n.delivering.Store(true)
		answer, ok := sendRequest(n, func(ctx context.Context) contentAnswer {
			var out bytes.Buffer
			refusal, err := n.service.FileContent(ctx, c.organisation, id, &out)
			return contentAnswer{out.Bytes(), refusal, err}
		})
		n.delivering.Store(false)
		if ok && answer.refusal == nil && answer.err == nil {
			return answer.data, nil, nil
		}
		if ok && answer.refusal != nil && answer.refusal.RetryAfter == 0 {
			return nil, answer.refusal, nil
		}
		c.pause(answer.refusal)
	}
	return nil, nil, fmt.Errorf("no content of %s after %d attempts", id, maxAttempts)
}
