// Package defaults fills in what options leave out.
package defaults

import "cmp"

// Set gives a field its default if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetPositive gives a field its default unless it is positive.
func SetPositive[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
