package batchapi

import (
	"errors"
	"io"
	"mime/multipart"
	"net/http"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/graceful"
)

// fileObject is OpenAI's file object.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(file batch.File) fileObject {
	return fileObject{
		ID:        file.ID,
		Object:    "file",
		Bytes:     file.Bytes,
		CreatedAt: unixOrZero(file.Created),
		ExpiresAt: unixOrZero(file.Expires),
		Filename:  file.Name,
		Purpose:   file.Purpose,
		Status:    "processed",
	}
}

// maxFieldBytes is the maximum size of a form field other than the file.
const maxFieldBytes = 1 << 10

// uploadFile streams the file to the service while it is received, because instances
// have no disk. A purpose field after the file is checked after the file was stored;
// if the purpose is invalid, an unused copy of the file stays in the log.
func (a *API) uploadFile(w http.ResponseWriter, r *http.Request) {
	parts, err := r.MultipartReader()
	if err != nil {
		a.reject(w, badRequest("file", "the request must be multipart/form-data"))
		return
	}
	upload := upload{api: a, request: r}
	if refusal := upload.readParts(parts); refusal != nil {
		a.reject(w, refusal)
		return
	}
	a.writeJSON(w, http.StatusOK, newFileObject(upload.file))
}

// upload is the state of one file upload.
type upload struct {
	api     *API
	request *http.Request
	file    batch.File
	stored  bool
	purpose string
}

func (u *upload) readParts(parts *multipart.Reader) *protocol.Refusal {
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			return u.validate()
		}
		if err != nil {
			return badRequest("file", "the upload ended early")
		}
		if refusal := u.readPart(part); refusal != nil {
			return refusal
		}
	}
}

// readPart reads one form field.
func (u *upload) readPart(part *multipart.Part) *protocol.Refusal {
	switch part.FormName() {
	case "purpose":
		value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
		if err != nil || string(value) != batch.PurposeBatch {
			return badRequest("purpose", "must be %q", batch.PurposeBatch)
		}
		u.purpose = string(value)
	case "file":
		if u.stored {
			return badRequest("file", "is given twice")
		}
		org := u.api.organisation(u.request)
		file, refusal := u.api.service.UploadFile(u.request.Context(), org, part.FileName(), part)
		if refusal != nil {
			return refusal
		}
		u.file = file
		u.stored = true
	}
	return nil
}

func (u *upload) validate() *protocol.Refusal {
	if !u.stored {
		return badRequest("file", "is missing")
	}
	if u.purpose == "" {
		return badRequest("purpose", "must be %q", batch.PurposeBatch)
	}
	return nil
}

func badRequest(param, format string, args ...any) *protocol.Refusal {
	refusal := protocol.Refuse(protocol.CodeBadRequest, 0, format, args...)
	refusal.Param = param
	return refusal
}

func (a *API) getFile(w http.ResponseWriter, r *http.Request) {
	file, refusal := a.service.File(r.Context(), a.organisation(r), r.PathValue("id"))
	if refusal != nil {
		a.reject(w, refusal)
		return
	}
	a.writeJSON(w, http.StatusOK, newFileObject(file))
}

// fileContent streams a file. If reading from the log fails after the response has
// started, fileContent closes the connection: a client would take a truncated file
// with a success status for the complete file.
func (a *API) fileContent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	refusal, err := a.service.FileContent(r.Context(), a.organisation(r), r.PathValue("id"), w)
	if refusal != nil {
		a.reject(w, refusal)
		return
	}
	if err != nil {
		_ = a.logger.Log("event", "content_cut", "file", r.PathValue("id"), "err", err)
		graceful.AbortResponse(r)
	}
}
