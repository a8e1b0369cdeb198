// Package batch takes batch jobs from the upload of their input to the reading
// of their results.
//
//   - Service is what callers use: files, jobs, results.
//   - Executor claims chunks and runs their items beside the online traffic.
//   - Keeper expires jobs, carries live data past retention, and forgets jobs.
//
// What must last stands in the platform's log before it is acknowledged: input
// and results in DataStream, the manifest and the first result of each item in
// ControlStream (see state/ledger). An instance keeps only what it can lose.
package batch
