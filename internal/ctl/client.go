package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"merlintiller/internal/protocol"
)

// maxAnswerBytes bounds an answer that is kept in memory.
const maxAnswerBytes = 64 << 20

// maxErrorBytes bounds the body of an error.
const maxErrorBytes = 1 << 20

// Client calls one of several instances. They are tried in turn as long as it
// is certain that the call had no effect at the ones before.
type Client struct {
	// Bases are addresses with their scheme, "https://10.0.0.1:8003".
	Bases  []string
	Secret string
	HTTP   *http.Client
}

// request is one call.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// open gives a body that is too large for memory, with its length. It is
	// called anew for each attempt. If it is nil, body is sent.
	open func() (io.ReadCloser, int64, error)
	// repeatable says that the call may be made again after a lost answer.
	repeatable bool
}

// errorBody is the error form that operators' and callers' calls share.
type errorBody struct {
	Error struct {
		Code    protocol.Code     `json:"code"`
		Message string            `json:"message"`
		Run     protocol.RunState `json:"run_state"`
		Next    string            `json:"next"`
	} `json:"error"`
}

// Get fetches JSON.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.JSON(ctx, request{method: http.MethodGet, path: path, repeatable: true}, into)
}

// Post sends JSON once and reads the JSON answer.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return c.JSON(ctx, request{method: http.MethodPost, path: path, header: header, body: data}, into)
}

// JSON makes a call and decodes its JSON answer.
func (c *Client) JSON(ctx context.Context, req request, into any) error {
	data, err := c.Bytes(ctx, req)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return lostAnswer(req, fmt.Errorf("unreadable answer: %w", err))
	}
	return nil
}

// Bytes makes a call and gives its answer as it came.
func (c *Client) Bytes(ctx context.Context, req request) ([]byte, error) {
	answer, err := c.send(ctx, req)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, lostAnswer(req, err)
	}
	if len(data) > maxAnswerBytes {
		return nil, fail(ExitFailed, "ask for less at a time", "the answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, nil
}

// Copy makes a call and passes its answer on as it comes, however large. After
// an error what was written is only a part of it.
func (c *Client) Copy(ctx context.Context, req request, to io.Writer) error {
	answer, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(to, answer.Body); err != nil {
		return fail(ExitUnavailable, "run the command again, for long answers with a larger --timeout", "the answer was cut: %v", err)
	}
	return nil
}

// send tries the instances in turn until one answers well.
func (c *Client) send(ctx context.Context, req request) (*http.Response, error) {
	if len(c.Bases) == 0 {
		return nil, fail(ExitBadInput, "give --instance, or set TILLER_INSTANCE", "no instance was named")
	}
	var last error
	for _, base := range c.Bases {
		answer, err := c.once(ctx, base, req)
		if err == nil {
			return answer, nil
		}
		last = err
		if !mayTryNext(err, req) {
			return nil, err
		}
	}
	return nil, last
}

// mayTryNext: another instance may be asked if this one certainly did nothing,
// or if doing it twice is harmless.
func mayTryNext(err error, req request) bool {
	failure := asFailure(err)
	if failure.Exit == ExitUnavailable {
		return true
	}
	return failure.Exit == ExitMayHaveTakenEffect && req.repeatable
}

// once asks one instance. Its answer, if there is one, has a good status.
func (c *Client) once(ctx context.Context, base string, req request) (*http.Response, error) {
	body, length, err := req.reader()
	if err != nil {
		return nil, fail(ExitBadInput, "name a file that can be read", "%v", err)
	}
	out, err := http.NewRequestWithContext(ctx, req.method, base+req.path, body)
	if err != nil {
		_ = body.Close()
		return nil, fail(ExitBadInput, "give an address such as 10.0.0.1:8003", "%s: %v", base, err)
	}
	out.ContentLength = length
	for name, values := range req.header {
		out.Header[name] = values
	}
	if c.Secret != "" {
		out.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	answer, err := c.HTTP.Do(out)
	if err != nil {
		return nil, sendFailure(base, req, err)
	}
	if answer.StatusCode/100 == 2 {
		return answer, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	if err != nil {
		return nil, lostAnswer(req, err)
	}
	return nil, statusFailure(base, answer.StatusCode, data)
}

// reader gives the body of one attempt.
func (r request) reader() (io.ReadCloser, int64, error) {
	if r.open != nil {
		return r.open()
	}
	if len(r.body) == 0 {
		return http.NoBody, 0, nil
	}
	return io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body)), nil
}

// sendFailure tells a connection that never stood, after which nothing can
// have happened, from one that broke.
func sendFailure(base string, req request, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fail(ExitUnavailable, "check the address, or name further instances with --instance", "%s can't be reached: %v", base, op.Err)
	}
	return lostAnswer(req, err)
}

func lostAnswer(req request, err error) error {
	if req.method == http.MethodGet {
		return fail(ExitUnavailable, "run the command again, or name further instances with --instance", "the answer was lost: %v", err)
	}
	return fail(ExitMayHaveTakenEffect, "run the same command again: what was done is not done twice",
		"the answer was lost: %v; the command may have taken effect", err)
}

func statusFailure(base string, status int, data []byte) error {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return fail(ExitFailed, "check that the address is the right one of the instance's listeners",
			"%s answered status %d and no known error", base, status)
	}
	message := strings.TrimSpace(fmt.Sprintf("%s (%s)", body.Error.Message, body.Error.Code))
	return &Failure{Exit: exitFor(body.Error.Code, body.Error.Run), Message: message, Next: body.Error.Next}
}
