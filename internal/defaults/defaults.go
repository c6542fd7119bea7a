// Package defaults sets option fields that have their zero value to a default.
package defaults

// Set sets *field to value if *field has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
