// Package itemrun runs one batch item at a target.
//
// It always asks for a stream, although batch results are whole: what has come
// when online traffic takes the place back is kept, and the next run resumes
// there. Without that, each preemption would throw the tokens away.
package itemrun
