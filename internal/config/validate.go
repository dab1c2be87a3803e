package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Fault is one setting out of its bounds.
type Fault struct {
	Field string
	Value string
	Bound string
}

// String formats the fault for an operator.
func (f Fault) String() string {
	return fmt.Sprintf("%s: value %s, must be %s", f.Field, f.Value, f.Bound)
}

// Error lists every fault of one set of settings.
type Error struct {
	Faults []Fault
}

// Error implements error with one fault a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d invalid settings:", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Validate checks a settings struct by its validate tags, and a Serve by the
// relations between its fields too. Fields are named by their flag tags.
func Validate(settings any) error {
	faults := tagFaults(settings)
	if s, ok := settings.(*Serve); ok {
		faults = append(faults, s.relationFaults()...)
	}
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	return &Error{Faults: faults}
}

func tagFaults(settings any) []Fault {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(flagName)
	if err := v.RegisterValidation("listen_address", isListenAddress); err != nil {
		panic(err)
	}
	err := v.Struct(settings)
	if err == nil {
		return nil
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return []Fault{{Field: "settings", Value: "?", Bound: err.Error()}}
	}
	faults := make([]Fault, 0, len(list))
	for _, f := range list {
		faults = append(faults, faultOf(f))
	}
	return faults
}

// isListenAddress accepts "ip:port"; the kernel chooses port 0.
func isListenAddress(f validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && address.Addr().IsValid()
}

func flagName(field reflect.StructField) string {
	if name := field.Tag.Get("flag"); name != "" {
		return name
	}
	return strings.ToLower(field.Name)
}

func faultOf(f validator.FieldError) Fault {
	_, name, found := strings.Cut(f.Namespace(), ".")
	if !found {
		name = f.Field()
	}
	return Fault{Field: name, Value: shown(f.Value()), Bound: bound(f)}
}

func shown(value any) string {
	if _, secret := value.(Secret); !secret && reflect.TypeOf(value).Kind() == reflect.String {
		return fmt.Sprintf("%q", value)
	}
	return fmt.Sprint(value)
}

func bound(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "set"
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
	case "unique":
		return "without repeats"
	default:
		return strings.TrimSuffix(f.Tag()+" "+f.Param(), " ")
	}
}

// relationFaults checks what no single field can tell.
func (s *Serve) relationFaults() []Fault {
	var faults []Fault
	add := func(field, value, bound string) {
		faults = append(faults, Fault{Field: field, Value: value, Bound: bound})
	}
	if s.Has(RoleControl) && s.DataDir == "" {
		add("data-dir", `""`, "set for the role control")
	}
	if s.Has(RoleControl) && len(s.Voters) > 0 && !s.isVoter() {
		add("voters", s.Name, "a list with this daemon's name")
	}
	if s.RenewInterval*2 > s.WorkLease {
		add("renew-interval", s.RenewInterval.String(), "at most half of work-lease "+s.WorkLease.String())
	}
	if s.OrderHorizon < s.WorkLease {
		add("order-horizon", s.OrderHorizon.String(), "at least work-lease "+s.WorkLease.String())
	}
	seen := make(map[string]bool, len(s.Voters))
	for _, v := range s.Voters {
		if seen[string(v.ID)] {
			add("voters", string(v.ID), "without repeats")
		}
		seen[string(v.ID)] = true
	}
	return faults
}

func (s *Serve) isVoter() bool {
	for _, v := range s.Voters {
		if string(v.ID) == s.Name {
			return true
		}
	}
	return false
}

// lengthUnit names what a bound of a length counts; it is empty for numbers.
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
