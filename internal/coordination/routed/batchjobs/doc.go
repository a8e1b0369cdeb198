// Package batchjobs accepts batch jobs, runs their items and returns their
// results, at any instance.
//
// A job is accepted only when its records are in the platform's store. Jobs are
// divided into partitions by their ids, and the store assigns the partitions to
// instances. The owner of a partition runs its items and publishes their
// results: it gives each result its position in the job. Every other instance
// asks the owner. If the owner can't be reached, a few instances read the store in
// its place, and the others ask these.
//
// Ownership saves work; correctness does not depend on it. While a partition is
// being reassigned, two instances may own it and both may run an item, which
// costs work. Results are appended on the condition that the partition ends
// where the writer expects (see package jobs). So each item gets one result, and
// the result keeps its position.
package batchjobs
