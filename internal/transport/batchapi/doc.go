// Package batchapi serves files and batch jobs to callers over HTTP, in the
// form of OpenAI's API, so that its client libraries work unchanged.
package batchapi
