package control

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/crocusway/crocusway/internal/errs"
)

// Fault is one reason why a message is invalid.
type Fault struct {
	Field string
	Value any
	// Bound is what the value has to satisfy.
	Bound string
}

// String returns "field = value: bound".
func (f Fault) String() string { return fmt.Sprintf("%s = %v: %s", f.Field, f.Value, f.Bound) }

// Faults lists every reason why a message is invalid.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	parts := make([]string, 0, len(f))
	for _, fault := range f {
		parts = append(parts, fault.String())
	}
	return strings.Join(parts, "; ")
}

func (f *Faults) add(field string, value any, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Value: value, Bound: fmt.Sprintf(format, args...)})
}

// err returns the faults as a typed error, nil when there are none.
func (f Faults) err(step string) error {
	if len(f) == 0 {
		return nil
	}
	return &errs.Error{Code: errs.Invalid, Step: step, Err: f}
}

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// structFaults checks the tags of a message.
func structFaults(message any) Faults {
	var found validator.ValidationErrors
	err := checker.Struct(message)
	if err == nil {
		return nil
	}
	if !errors.As(err, &found) {
		return Faults{{Field: "message", Value: message, Bound: err.Error()}}
	}
	var faults Faults
	for _, fe := range found {
		_, field, _ := strings.Cut(fe.Namespace(), ".")
		faults.add(field, fe.Value(), "%s", bound(fe))
	}
	return faults
}

func bound(fe validator.FieldError) string {
	if fe.Param() == "" {
		return "must be " + fe.Tag()
	}
	return fmt.Sprintf("must satisfy %s=%s", fe.Tag(), fe.Param())
}
