// Package batchjobs takes batch jobs, runs their items and gives out their
// results, at any instance.
//
// A job lasts once its records stand in the platform's store; only then is it
// accepted. The jobs are divided into partitions by their ids, and the store
// deals the partitions to instances. The holder of a partition runs its items
// and lists their results; any other instance asks the holder, or reads the
// store itself if the holder can't be reached.
//
// Holding is a matter of economy, never of correctness. While a partition is
// dealt anew two instances may hold it, and both may run an item: that costs
// work. Results are listed under a condition on the end of the partition, see
// package jobs, so that each item is listed once and stays where it is.
package batchjobs
