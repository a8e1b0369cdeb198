// Package itemrun runs one batch item at a target.
//
// It requests a stream for completions, although the result of a batch item is not
// streamed. When online traffic preempts the item, the partial output is kept and
// the next run resumes after it. Without a stream, each preemption would discard
// the generated tokens.
package itemrun
