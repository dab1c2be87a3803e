// Package faults lists what is wrong with a message or with settings: every
// fault at once, each with its field, its value and its bound.
package faults

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/crocusway/crocusway/internal/errs"
)

// maxValue bounds a value in a text, in bytes; it may come from outside.
const maxValue = 80

// Fault is one field out of its bound.
type Fault struct {
	Field string
	// Value is the value as a text, quoted if it is a string.
	Value string
	// Bound is what the value must be, for example "at most 16".
	Bound string
}

// String returns "field: value V, must be BOUND".
func (f Fault) String() string {
	return fmt.Sprintf("%s: value %s, must be %s", f.Field, f.Value, f.Bound)
}

// List holds every fault of one message.
type List []Fault

// Error implements error; the faults stand in one line.
func (l List) Error() string {
	parts := make([]string, 0, len(l))
	for _, f := range l {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// Add appends a fault. The bound is a format that completes "must be".
func (l *List) Add(field string, value any, bound string, args ...any) {
	*l = append(*l, Fault{Field: field, Value: text(value), Bound: fmt.Sprintf(bound, args...)})
}

// Err returns the faults as an error with errs.Invalid, nil when there are none.
func (l List) Err(step, peer string) error {
	if len(l) == 0 {
		return nil
	}
	return &errs.Error{Code: errs.Invalid, Step: step, Peer: peer, Err: l}
}

// text formats a value. A type that formats itself, such as a secret, does so.
func text(value any) string {
	out := fmt.Sprint(value)
	_, formats := value.(fmt.Stringer)
	if !formats && value != nil && reflect.TypeOf(value).Kind() == reflect.String {
		out = fmt.Sprintf("%q", value)
	}
	if len(out) > maxValue {
		return out[:maxValue] + "..."
	}
	return out
}
