package faults

import (
	"net/netip"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Checker validates structs by their validate tags and names fields by another
// tag. It is safe for concurrent use.
type Checker struct {
	validate *validator.Validate
}

// NewChecker returns a checker that names fields by the tag nameTag, such as
// "json". In addition to the rules of the library it supports listen_address:
// "ip:port" with port 0 to 65535.
func NewChecker(nameTag string) *Checker {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(nameTag), ",")
		if name == "" {
			return strings.ToLower(f.Name)
		}
		return name
	})
	if err := v.RegisterValidation("listen_address", isListenAddress); err != nil {
		panic(err)
	}
	return &Checker{validate: v}
}

// Check returns every fault of a struct.
func (c *Checker) Check(message any) List {
	err := c.validate.Struct(message)
	if err == nil {
		return nil
	}
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return List{{Field: "message", Value: "?", Bound: err.Error()}}
	}
	list := make(List, 0, len(found))
	for _, f := range found {
		list.Add(fieldPath(f), f.Value(), "%s", boundText(f))
	}
	return list
}

// fieldPath returns the path of a field without the name of the struct.
func fieldPath(f validator.FieldError) string {
	_, path, found := strings.Cut(f.Namespace(), ".")
	if !found {
		return f.Field()
	}
	return path
}

// isListenAddress accepts "ip:port"; for port 0 the kernel chooses a port.
func isListenAddress(f validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && address.Addr().IsValid()
}

// boundText describes a failed rule; the text completes "must be".
func boundText(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "set"
	case "required_if":
		return "set with " + f.Param()
	case "eq":
		return f.Param()
	case "len":
		return "of length " + f.Param()
	case "min":
		return "at least " + f.Param() + lengthUnit(f.Kind())
	case "max":
		return "at most " + f.Param() + lengthUnit(f.Kind())
	case "oneof":
		return "one of " + f.Param()
	case "hostname_port":
		return "host:port"
	case "listen_address":
		return "ip:port, port 0 to 65535"
	case "ip":
		return "an IP address"
	case "unique":
		return "without repeats"
	default:
		return strings.TrimSuffix(f.Tag()+" "+f.Param(), " ")
	}
}

// lengthUnit returns the unit of a bound on a length; it is empty for numbers.
func lengthUnit(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " items"
	default:
		return ""
	}
}
