// Package batchapi is the HTTP API for files and batch jobs. It is compatible with
// OpenAI's API, so that OpenAI's client libraries work unchanged.
package batchapi
