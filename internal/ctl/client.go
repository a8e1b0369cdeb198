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

// maxAnswerBytes limits an answer that is read into memory.
const maxAnswerBytes = 64 << 20

// maxErrorBytes limits the body of an error answer.
const maxErrorBytes = 1 << 20

// Client calls one of several instances. It tries the next instance only if the call
// certainly had no effect at the previous ones, or if the request is idempotent.
type Client struct {
	// BaseURLs are the addresses of the instances with their scheme, such as
	// "https://10.0.0.1:8003".
	BaseURLs []string
	Secret   string
	HTTP     *http.Client
}

// request describes one call.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// open returns a body that is too large for memory, and its length in bytes.
	// It is called for each attempt. If open is nil, body is sent.
	open func() (io.ReadCloser, int64, error)
	// idempotent reports whether the call may be made again after a lost answer.
	idempotent bool
}

// errorBody is the error format of both the operators' and the callers' API.
type errorBody struct {
	Error struct {
		Code    protocol.Code     `json:"code"`
		Message string            `json:"message"`
		Run     protocol.RunState `json:"run_state"`
		Next    string            `json:"next"`
	} `json:"error"`
}

// Get fetches and decodes JSON.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.JSON(ctx, request{method: http.MethodGet, path: path, idempotent: true}, into)
}

// Post sends JSON, without a retry after a lost answer, and decodes the JSON answer.
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
		return lostAnswer(req, fmt.Errorf("decoding the answer: %w", err))
	}
	return nil
}

// Bytes makes a call and returns the body of its answer.
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
		return nil, fail(ExitFailed, "request less at a time", "the answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, nil
}

// Copy makes a call and copies the body of its answer, of any size. After an error
// only a part of the body may have been written.
func (c *Client) Copy(ctx context.Context, req request, to io.Writer) error {
	answer, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(to, answer.Body); err != nil {
		return fail(ExitUnavailable, "run the command again, for long answers with a larger --timeout", "the answer was truncated: %v", err)
	}
	return nil
}

// send tries the instances in order until one answers with a 2xx status.
func (c *Client) send(ctx context.Context, req request) (*http.Response, error) {
	if len(c.BaseURLs) == 0 {
		return nil, fail(ExitBadInput, "give --instance, or set TILLER_INSTANCE", "no instance was given")
	}
	var last error
	for _, base := range c.BaseURLs {
		answer, err := c.sendTo(ctx, base, req)
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

// mayTryNext reports whether another instance may be tried: this one certainly did
// nothing, or the request is idempotent.
func mayTryNext(err error, req request) bool {
	failure := asFailure(err)
	if failure.Exit == ExitUnavailable {
		return true
	}
	return failure.Exit == ExitMayHaveTakenEffect && req.idempotent
}

// sendTo calls one instance. It returns an answer only with a 2xx status, else an error.
func (c *Client) sendTo(ctx context.Context, base string, req request) (*http.Response, error) {
	body, length, err := req.reader()
	if err != nil {
		return nil, fail(ExitBadInput, "give a file that can be read", "%v", err)
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

// reader returns the body of one attempt and its length in bytes.
func (r request) reader() (io.ReadCloser, int64, error) {
	if r.open != nil {
		return r.open()
	}
	if len(r.body) == 0 {
		return http.NoBody, 0, nil
	}
	return io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body)), nil
}

// sendFailure distinguishes a failed dial, after which the call certainly had no
// effect, from a connection that broke during the call.
func sendFailure(base string, req request, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fail(ExitUnavailable, "check the address, or give further instances with --instance", "%s can't be reached: %v", base, op.Err)
	}
	return lostAnswer(req, err)
}

func lostAnswer(req request, err error) error {
	if req.method == http.MethodGet {
		return fail(ExitUnavailable, "run the command again, or give further instances with --instance", "the answer was lost: %v", err)
	}
	return fail(ExitMayHaveTakenEffect, "run the same command again: it does nothing twice",
		"the answer was lost: %v; the command may have taken effect", err)
}

func statusFailure(base string, status int, data []byte) error {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return fail(ExitFailed, "check that the address is that of the right listener of the instance",
			"%s answered with status %d and an unknown error body", base, status)
	}
	message := strings.TrimSpace(fmt.Sprintf("%s (%s)", body.Error.Message, body.Error.Code))
	return &Failure{Exit: exitCodeFor(body.Error.Code, body.Error.Run), Message: message, Next: body.Error.Next}
}
