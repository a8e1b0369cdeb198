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

// client sends requests to one instance after the other, as a caller behind a
// balancer does, until one answers.
type client struct {
	world        *world
	organisation protocol.OrganisationID
	next         int
	// notRun holds the attempts that were refused as not run.
	notRun map[string]bool
	// acknowledged holds the ids of the jobs that were acknowledged.
	acknowledged map[protocol.JobID]bool
}

func newClient(w *world) *client {
	return &client{world: w, organisation: cascadia, notRun: map[string]bool{}, acknowledged: map[protocol.JobID]bool{}}
}

// turn picks the instance of the next request.
func (c *client) turn() *node {
	live := c.world.live()
	if len(live) == 0 {
		panic("no instance lives")
	}
	n := live[c.next%len(live)]
	c.next++
	return n
}

// patience is how long a client waits for an answer before it turns to
// another instance.
const patience = 15 * time.Second

// ask makes a request through an instance. It is false if the caller has no
// answer: the instance died under it, or is too slow.
func ask[T any](n *node, request func(context.Context) T) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, patience)
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

// pause waits as a refusal advises.
func (c *client) pause(refusal *protocol.Refusal) {
	wait := time.Second
	if refusal != nil && refusal.RetryAfter > 0 {
		wait = refusal.RetryAfter
	}
	<-time.After(wait)
}

// input is a file with numbered items.
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

// maxTries bounds a client's patience.
const maxTries = 60

// submit uploads a file and submits a job until it is acknowledged. Every
// attempt carries the same key and a mark of its own.
func (c *client) submit(key string, items int, window string) (batch.Job, error) {
	var file *batch.File
	for try := range maxTries {
		n := c.turn()
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
		answer, ok := ask(n, func(ctx context.Context) jobAnswer {
			job, refusal := n.service.CreateBatch(ctx, c.organisation, request, key)
			return jobAnswer{job, refusal}
		})
		if ok && answer.refusal == nil {
			c.acknowledged[answer.job.ID] = true
			return answer.job, nil
		}
		c.refused(ok, answer.refusal, fmt.Sprint(try))
		if ok && answer.refusal.Code == protocol.CodeGone {
			file = nil
		}
		c.pause(answer.refusal)
	}
	return batch.Job{}, fmt.Errorf("no job after %d tries", maxTries)
}

// submitCrossed submits a job, and where requests are to cross sends the same
// one through another instance at the same time.
func (c *client) submitCrossed(key string, items int, window string) (batch.Job, error) {
	if !c.world.planned(crossed) {
		return c.submit(key, items, window)
	}
	other := newClient(c.world)
	other.next = c.next + 1
	var wait sync.WaitGroup
	var otherErr error
	wait.Go(func() { _, otherErr = other.submit(key, items, window) })
	job, err := c.submit(key, items, window)
	wait.Wait()
	maps.Copy(c.acknowledged, other.acknowledged)
	return job, errors.Join(err, otherErr)
}

func (c *client) refused(answered bool, refusal *protocol.Refusal, try string) {
	if answered && refusal != nil && refusal.Run == protocol.NotRun {
		c.notRun[try] = true
	}
}

func (c *client) upload(n *node, items int) *batch.File {
	answer, ok := ask(n, func(ctx context.Context) fileAnswer {
		file, refusal := n.service.UploadFile(ctx, c.organisation, "reports.jsonl", bytes.NewReader(input(items)))
		return fileAnswer{file, refusal}
	})
	if !ok || answer.refusal != nil {
		c.pause(answer.refusal)
		return nil
	}
	return &answer.file
}

// cancel cancels a job until it is confirmed.
func (c *client) cancel(id protocol.JobID) (batch.Job, error) {
	for range maxTries {
		n := c.turn()
		answer, ok := ask(n, func(ctx context.Context) jobAnswer {
			job, refusal := n.service.CancelBatch(ctx, c.organisation, id)
			return jobAnswer{job, refusal}
		})
		if ok && answer.refusal == nil {
			return answer.job, nil
		}
		c.pause(answer.refusal)
	}
	return batch.Job{}, fmt.Errorf("no cancel after %d tries", maxTries)
}

type contentAnswer struct {
	data    []byte
	refusal *protocol.Refusal
	err     error
}

// content reads a file until it comes whole. It gives up on a refusal that
// says not to try again.
func (c *client) content(id string) ([]byte, *protocol.Refusal, error) {
	for range maxTries {
		n := c.turn()
		n.delivering.Store(true)
		answer, ok := ask(n, func(ctx context.Context) contentAnswer {
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
	return nil, nil, fmt.Errorf("no content of %s after %d tries", id, maxTries)
}
