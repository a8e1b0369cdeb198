// Package defaults sets the default values of unset options.
package defaults

import "cmp"

// Set sets a field to a default value if the field has the zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetPositive sets a field to a default value if the field is not positive.
func SetPositive[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
