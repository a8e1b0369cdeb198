// Package batch implements batch jobs, from the upload of the input file to the
// download of the results.
//
//   - Service is the interface for callers: files, jobs and results.
//   - Executor claims chunks of jobs and runs their items alongside online
//     traffic.
//   - JobReaper expires jobs at their deadline and deletes ended jobs whose
//     results have expired.
//   - DataRefresher appends live data again before the platform's retention
//     removes it.
//
// Durable data is written to the platform's log before it is acknowledged:
// input and results to DataStream, the job manifest and the first result of
// each item to ControlStream (see state/ledger). Everything that an instance
// keeps only in memory may be lost without harm.
package batch
