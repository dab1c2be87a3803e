package control

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/faults"
)

// checker reports fields by their JSON names.
var checker = faults.NewChecker("json")

// configView is the configuration that an intent is checked against.
type configView struct {
	servingGroups map[api.ServingGroupName]api.ServingGroup
	accounts      map[api.AccountID]api.Account
	services      map[string]api.Service
	// domains are declared by operators or announced by hosts and entries.
	domains map[api.FailureDomain]struct{}
}

// validateIntent reports every fault of an intent. A serving group may name a
// failure domain that is declared, announced by a host or an entry, or declared
// by the same intent.
func validateIntent(cfg configView, in api.Intent) error {
	list := checker.Check(in)
	checkNames(&list, in)
	checkRemovals(&list, cfg, in)
	checkDomains(&list, cfg, in)
	checkKeyHashes(&list, cfg, in)
	if reflect.DeepEqual(in, api.Intent{}) {
		list.Add("intent", "empty", "a change of something")
	}
	return list.Err("validate intent", "")
}

func checkNames(f *faults.List, in api.Intent) {
	groups := uniqueNames(f, "serving_groups", "name", in.ServingGroups, servingGroupKey)
	accounts := uniqueNames(f, "accounts", "id", in.Accounts, accountKey)
	uniqueNames(f, "domains", "name", in.Domains, domainKey)
	services := uniqueNames(f, "services", "name", in.Services, serviceKey)
	checkRemovalNames(f, "remove.serving_groups", in.Remove.ServingGroups, groups)
	checkRemovalNames(f, "remove.accounts", in.Remove.Accounts, accounts)
	checkRemovalNames(f, "remove.services", in.Remove.Services, services)
	checkCharacters(f, in)
}

// checkCharacters refuses control characters: a line break would break a log
// line, and NUL separates the parts of a shard key.
func checkCharacters(f *faults.List, in api.Intent) {
	for i, sg := range in.ServingGroups {
		checkPrintable(f, fmt.Sprintf("serving_groups[%d].name", i), string(sg.Name))
		checkPrintable(f, fmt.Sprintf("serving_groups[%d].model", i), sg.Model)
		if sg.Name.IsService() {
			f.Add(fmt.Sprintf("serving_groups[%d].name", i), string(sg.Name), "without the prefix %q", api.ServicePrefix)
		}
	}
	for i, a := range in.Accounts {
		checkPrintable(f, fmt.Sprintf("accounts[%d].id", i), string(a.ID))
	}
	for i, d := range in.Domains {
		checkPrintable(f, fmt.Sprintf("domains[%d].name", i), string(d.Name))
	}
	for i, svc := range in.Services {
		checkPrintable(f, fmt.Sprintf("services[%d].name", i), svc.Name)
	}
}

func checkPrintable(f *faults.List, field, value string) {
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' }) {
		f.Add(field, value, "free of control characters")
	}
}

func uniqueNames[K comparable, V any](f *faults.List, list, field string, items []V, key func(V) K) map[K]struct{} {
	seen := make(map[K]struct{}, len(items))
	for i, item := range items {
		name := key(item)
		if _, ok := seen[name]; ok {
			f.Add(fmt.Sprintf("%s[%d].%s", list, i, field), name, "listed once")
		}
		seen[name] = struct{}{}
	}
	return seen
}

func checkRemovalNames[K comparable](f *faults.List, list string, names []K, upserted map[K]struct{}) {
	seen := make(map[K]struct{}, len(names))
	for i, name := range names {
		field := fmt.Sprintf("%s[%d]", list, i)
		if _, ok := upserted[name]; ok {
			f.Add(field, name, "absent from the rest of the same intent")
		}
		if _, ok := seen[name]; ok {
			f.Add(field, name, "listed once")
		}
		seen[name] = struct{}{}
	}
}

func checkRemovals(f *faults.List, cfg configView, in api.Intent) {
	checkKnown(f, "remove.serving_groups", in.Remove.ServingGroups, cfg.servingGroups)
	checkKnown(f, "remove.accounts", in.Remove.Accounts, cfg.accounts)
	checkKnown(f, "remove.services", in.Remove.Services, cfg.services)
}

func checkKnown[K comparable, V any](f *faults.List, list string, names []K, rows map[K]V) {
	for i, name := range names {
		if _, ok := rows[name]; !ok {
			f.Add(fmt.Sprintf("%s[%d]", list, i), name, "known")
		}
	}
}

func checkDomains(f *faults.List, cfg configView, in api.Intent) {
	declared := make(map[api.FailureDomain]struct{}, len(in.Domains))
	for i, d := range in.Domains {
		declared[d.Name] = struct{}{}
		if _, ok := cfg.domains[d.Name]; !ok && d.State == api.DomainDrained {
			f.Add(fmt.Sprintf("domains[%d].name", i), d.Name, "a known failure domain to be drained")
		}
	}
	for i, sg := range in.ServingGroups {
		for j, name := range sg.Domains {
			_, ok := cfg.domains[name]
			_, inIntent := declared[name]
			if !ok && !inIntent {
				f.Add(fmt.Sprintf("serving_groups[%d].domains[%d]", i, j), name, "a known failure domain")
			}
		}
	}
}

// checkKeyHashes refuses an API key that two accounts share.
func checkKeyHashes(f *faults.List, cfg configView, in api.Intent) {
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

func checkAccountHashes(f *faults.List, owners map[string]api.AccountID, i int, a api.Account) {
	for j, hash := range a.KeyHashes {
		field := fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j)
		if hash != strings.ToLower(hash) {
			f.Add(field, hash, "in lower case")
		}
		if owner, ok := owners[hash]; ok {
			f.Add(field, hash, "unique, account %s has it", owner)
		}
		owners[hash] = a.ID
	}
}
