package control

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/crocusway/crocusway/internal/api"
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

// configView is the configuration that an intent is checked against.
type configView struct {
	servingGroups map[api.ServingGroupName]api.ServingGroup
	accounts      map[api.AccountID]api.Account
	services      map[string]api.Service
	// domains are declared by operators or announced by hosts and entries.
	domains map[api.FailureDomain]struct{}
}

// validateIntent lists every fault of an intent. A serving group may name a
// failure domain that is declared, announced by a host or an entry, or
// declared by the same intent.
func validateIntent(cfg configView, in api.Intent) error {
	faults := structFaults(in)
	checkNames(&faults, in)
	checkRemovals(&faults, cfg, in)
	checkDomains(&faults, cfg, in)
	checkKeyHashes(&faults, cfg, in)
	if reflect.DeepEqual(in, api.Intent{}) {
		faults.add("intent", "empty", "must change something")
	}
	return faults.err("validate intent")
}

func checkNames(f *Faults, in api.Intent) {
	groups := uniqueNames(f, "serving_groups", "name", in.ServingGroups, servingGroupKey)
	accounts := uniqueNames(f, "accounts", "id", in.Accounts, accountKey)
	uniqueNames(f, "domains", "name", in.Domains, domainKey)
	services := uniqueNames(f, "services", "name", in.Services, serviceKey)
	removable(f, "remove.serving_groups", in.Remove.ServingGroups, groups)
	removable(f, "remove.accounts", in.Remove.Accounts, accounts)
	removable(f, "remove.services", in.Remove.Services, services)
	checkCharacters(f, in)
}

// checkCharacters refuses control characters, which would end a log line or
// the key of a shard early.
func checkCharacters(f *Faults, in api.Intent) {
	for i, sg := range in.ServingGroups {
		printable(f, fmt.Sprintf("serving_groups[%d].name", i), string(sg.Name))
		printable(f, fmt.Sprintf("serving_groups[%d].model", i), sg.Model)
	}
	for i, a := range in.Accounts {
		printable(f, fmt.Sprintf("accounts[%d].id", i), string(a.ID))
	}
	for i, d := range in.Domains {
		printable(f, fmt.Sprintf("domains[%d].name", i), string(d.Name))
	}
	for i, svc := range in.Services {
		printable(f, fmt.Sprintf("services[%d].name", i), svc.Name)
	}
}

func printable(f *Faults, field, value string) {
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' }) {
		f.add(field, fmt.Sprintf("%q", value), "must be free of control characters")
	}
}

func uniqueNames[K comparable, V any](f *Faults, list, field string, items []V, key func(V) K) map[K]struct{} {
	seen := make(map[K]struct{}, len(items))
	for i, item := range items {
		name := key(item)
		if _, ok := seen[name]; ok {
			f.add(fmt.Sprintf("%s[%d].%s", list, i, field), name, "must be listed once")
		}
		seen[name] = struct{}{}
	}
	return seen
}

func removable[K comparable](f *Faults, list string, names []K, upserted map[K]struct{}) {
	seen := make(map[K]struct{}, len(names))
	for i, name := range names {
		field := fmt.Sprintf("%s[%d]", list, i)
		if _, ok := upserted[name]; ok {
			f.add(field, name, "must not be changed by the same intent")
		}
		if _, ok := seen[name]; ok {
			f.add(field, name, "must be listed once")
		}
		seen[name] = struct{}{}
	}
}

func checkRemovals(f *Faults, cfg configView, in api.Intent) {
	known(f, "remove.serving_groups", in.Remove.ServingGroups, cfg.servingGroups)
	known(f, "remove.accounts", in.Remove.Accounts, cfg.accounts)
	known(f, "remove.services", in.Remove.Services, cfg.services)
}

func known[K comparable, V any](f *Faults, list string, names []K, rows map[K]V) {
	for i, name := range names {
		if _, ok := rows[name]; !ok {
			f.add(fmt.Sprintf("%s[%d]", list, i), name, "must exist")
		}
	}
}

func checkDomains(f *Faults, cfg configView, in api.Intent) {
	declared := make(map[api.FailureDomain]struct{}, len(in.Domains))
	for i, d := range in.Domains {
		declared[d.Name] = struct{}{}
		if _, ok := cfg.domains[d.Name]; !ok && d.State == api.DomainDrained {
			f.add(fmt.Sprintf("domains[%d].name", i), d.Name, "must be a known failure domain to be drained")
		}
	}
	for i, sg := range in.ServingGroups {
		for j, name := range sg.Domains {
			_, ok := cfg.domains[name]
			_, here := declared[name]
			if !ok && !here {
				f.add(fmt.Sprintf("serving_groups[%d].domains[%d]", i, j), name, "must be a known failure domain")
			}
		}
	}
}

// checkKeyHashes keeps two accounts from sharing an API key.
func checkKeyHashes(f *Faults, cfg configView, in api.Intent) {
	owners := make(map[string]api.AccountID)
	replaced := make(map[api.AccountID]struct{}, len(in.Accounts))
	for _, a := range in.Accounts {
		replaced[a.ID] = struct{}{}
	}
	for _, id := range in.Remove.Accounts {
		replaced[id] = struct{}{}
	}
	for id, a := range cfg.accounts {
		if _, ok := replaced[id]; ok {
			continue
		}
		for _, hash := range a.KeyHashes {
			owners[hash] = id
		}
	}
	for i, a := range in.Accounts {
		checkAccountHashes(f, owners, i, a)
	}
}

func checkAccountHashes(f *Faults, owners map[string]api.AccountID, i int, a api.Account) {
	for j, hash := range a.KeyHashes {
		field := fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j)
		if hash != strings.ToLower(hash) {
			f.add(field, hash, "must be in lower case")
		}
		if owner, ok := owners[hash]; ok {
			f.add(field, hash, "must be unique, account %s has it", owner)
		}
		owners[hash] = a.ID
	}
}
