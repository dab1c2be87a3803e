// Package faults reports the validation errors of a message or of settings: all
// of them at once, each with its field, value and bound.
package faults

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/crocusway/crocusway/internal/errs"
)

// maxValueBytes truncates values in error texts: they may be untrusted input.
const maxValueBytes = 80

// Fault is one field that violates its bound.
type Fault struct {
	Field string
	// Value is the formatted value, quoted if it is a string.
	Value string
	// Bound describes the valid values, for example "at most 16".
	Bound string
}

// String returns "field: value V, must be BOUND".
func (f Fault) String() string {
	return fmt.Sprintf("%s: value %s, must be %s", f.Field, f.Value, f.Bound)
}

// List holds every fault of one message.
type List []Fault

// Error implements error; it joins the faults in one line.
func (l List) Error() string {
	parts := make([]string, 0, len(l))
	for _, f := range l {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// Add appends a fault. The bound is a format string that completes "must be".
func (l *List) Add(field string, value any, bound string, args ...any) {
	*l = append(*l, Fault{Field: field, Value: formatValue(value), Bound: fmt.Sprintf(bound, args...)})
}

// Err returns the faults as an error with code errs.Invalid, or nil if there are
// none.
func (l List) Err(step, peer string) error {
	if len(l) == 0 {
		return nil
	}
	return &errs.Error{Code: errs.Invalid, Step: step, Peer: peer, Err: l}
}

// formatValue formats a value. A fmt.Stringer, such as a secret, is not quoted.
func formatValue(value any) string {
	out := fmt.Sprint(value)
	_, formats := value.(fmt.Stringer)
	if !formats && value != nil && reflect.TypeOf(value).Kind() == reflect.String {
		out = fmt.Sprintf("%q", value)
	}
	if len(out) > maxValueBytes {
		return out[:maxValueBytes] + "..."
	}
	return out
}
