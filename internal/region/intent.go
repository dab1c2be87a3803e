package region

import (
	"fmt"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/faults"
)

// Intent is what an operator asks of several regions.
type Intent struct {
	// Shared goes to every region: client accounts, services and weights.
	Shared api.Intent `json:"shared,omitzero"`
	// Regions adds what belongs to one region, such as its failure domains and
	// the replicas of its serving groups.
	Regions []Part `json:"regions,omitempty" validate:"dive"`
}

// Part is the intent for one region alone.
type Part struct {
	Region Name       `json:"region" validate:"required,max=64"`
	Intent api.Intent `json:"intent"`
}

// ReadIntent reads an intent for several regions and checks it against them. It
// fails with errs.Invalid, which lists every fault.
func ReadIntent(file string, regions Regions) (Intent, error) {
	var out Intent
	if err := readJSON(file, &out); err != nil {
		return Intent{}, err
	}
	list := checker.Check(&out)
	out.checkShared(&list)
	seen := make(map[Name]bool, len(out.Regions))
	for _, part := range out.Regions {
		if !regions.has(part.Region) {
			list.Add("region", string(part.Region), "a region of the regions file")
		}
		if seen[part.Region] {
			list.Add("region", string(part.Region), "without repeats")
		}
		seen[part.Region] = true
		out.checkOverlap(&list, part)
	}
	return out, list.Err("read intent "+file, "")
}

// checkShared refuses what no two regions can have in common.
func (in Intent) checkShared(list *faults.List) {
	for _, d := range in.Shared.Domains {
		list.Add("shared.domains", string(d.Name), "empty: a failure domain belongs to one region")
	}
	for _, sg := range in.Shared.ServingGroups {
		list.Add("shared.serving_groups", string(sg.Name), "empty: replicas are counted by region")
	}
}

// checkOverlap refuses items that stand in the shared intent and in a part.
func (in Intent) checkOverlap(list *faults.List, part Part) {
	shared := make(map[string]bool)
	for _, item := range itemsOf(in.Shared) {
		shared[item] = true
	}
	for _, item := range itemsOf(part.Intent) {
		if shared[item] {
			list.Add(fmt.Sprintf("regions.%s", part.Region), item, "in shared or here, not both")
		}
	}
}

// itemsOf names what an intent sets or removes.
func itemsOf(in api.Intent) []string {
	var out []string
	for _, a := range in.Accounts {
		out = append(out, "account "+string(a.ID))
	}
	for _, id := range in.Remove.Accounts {
		out = append(out, "account "+string(id))
	}
	for _, s := range in.Services {
		out = append(out, "service "+s.Name)
	}
	for _, name := range in.Remove.Services {
		out = append(out, "service "+name)
	}
	if in.Weights != nil {
		out = append(out, "weights")
	}
	return out
}

// of returns the whole intent for one region.
func (in Intent) of(name Name) api.Intent {
	for _, part := range in.Regions {
		if part.Region == name {
			return merge(in.Shared, part.Intent)
		}
	}
	return in.Shared
}

// merge joins two intents that name no item twice.
func merge(shared, own api.Intent) api.Intent {
	own.Accounts = join(shared.Accounts, own.Accounts)
	own.Services = join(shared.Services, own.Services)
	own.Remove.Accounts = join(shared.Remove.Accounts, own.Remove.Accounts)
	own.Remove.Services = join(shared.Remove.Services, own.Remove.Services)
	own.Remove.ServingGroups = join(shared.Remove.ServingGroups, own.Remove.ServingGroups)
	if shared.Weights != nil {
		own.Weights = shared.Weights
	}
	return own
}

// join returns a new list, nil when both are empty.
func join[T any](a, b []T) []T {
	return append(append([]T(nil), a...), b...)
}

// empty reports whether an intent asks for nothing.
func empty(in api.Intent) bool {
	n := len(in.ServingGroups) + len(in.Accounts) + len(in.Domains) + len(in.Services)
	n += len(in.Remove.ServingGroups) + len(in.Remove.Accounts) + len(in.Remove.Services)
	return n == 0 && in.Weights == nil
}
