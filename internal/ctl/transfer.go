package ctl

import (
	"bytes"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
)

// upload streams an input file, without reading it into memory: a file of 760,000
// items has several hundred megabytes. A second upload after a lost answer leaves an
// unused copy, which retention removes.
func upload(env *Env, path string) (string, error) {
	head, tail, contentType, err := uploadForm(filepath.Base(path))
	if err != nil {
		return "", err
	}
	open := func() (io.ReadCloser, int64, error) {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, err
		}
		info, err := file.Stat()
		if err != nil {
			_ = file.Close()
			return nil, 0, err
		}
		whole := io.MultiReader(bytes.NewReader(head), file, bytes.NewReader(tail))
		return readCloser{whole, file}, int64(len(head)) + info.Size() + int64(len(tail)), nil
	}
	var uploaded struct {
		ID string `json:"id"`
	}
	err = env.Caller.JSON(env.Context, request{
		method:     http.MethodPost,
		path:       pathFiles,
		header:     http.Header{"Content-Type": {contentType}},
		open:       open,
		idempotent: true,
	}, &uploaded)
	return uploaded.ID, err
}

type readCloser struct {
	io.Reader
	io.Closer
}

// uploadForm returns the bytes of the multipart form before and after the file.
func uploadForm(name string) (head, tail []byte, contentType string, err error) {
	var out bytes.Buffer
	form := multipart.NewWriter(&out)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return nil, nil, "", err
	}
	if _, err := form.CreateFormFile("file", name); err != nil {
		return nil, nil, "", err
	}
	cut := out.Len()
	if err := form.Close(); err != nil {
		return nil, nil, "", err
	}
	return out.Bytes()[:cut], out.Bytes()[cut:], form.FormDataContentType(), nil
}

// download writes an answer to the file named by to, or to the standard output if to is
// empty, and counts its lines. The file gets its final name only when it is complete:
// a truncated file could be mistaken for all of the results.
func download(env *Env, req request, to string) (lines int, err error) {
	counter := &lineCounter{to: env.Stdout}
	if to == "" {
		err := env.Caller.Copy(env.Context, req, counter)
		return counter.lines, err
	}
	part, err := os.CreateTemp(filepath.Dir(to), filepath.Base(to)+".part-*")
	if err != nil {
		return 0, fail(ExitBadInput, "give a file that can be written", "%v", err)
	}
	defer os.Remove(part.Name())
	counter.to = part
	if err := env.Caller.Copy(env.Context, req, counter); err != nil {
		_ = part.Close()
		return 0, err
	}
	if err := part.Close(); err != nil {
		return 0, fail(ExitFailed, "check that the disk is not full", "%v", err)
	}
	if err := os.Rename(part.Name(), to); err != nil {
		return 0, fail(ExitBadInput, "give a file that can be written", "%v", err)
	}
	return counter.lines, nil
}

type lineCounter struct {
	to    io.Writer
	lines int
}

// Write counts the lines and forwards the bytes.
func (l *lineCounter) Write(p []byte) (int, error) {
	l.lines += bytes.Count(p, []byte("\n"))
	return l.to.Write(p)
}
