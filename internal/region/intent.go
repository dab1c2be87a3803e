package region

import (
	"fmt"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/faults"
)

// Intent is an operator's request to several regions.
type Intent struct {
	// Shared applies to every region: client accounts, services and weights.
	Shared api.Intent `json:"shared,omitzero"`
	// Regions lists the items of single regions, such as their failure domains and
	// serving groups.
	Regions []Part `json:"regions,omitempty" validate:"dive"`
}

// Part is the additional intent for one region.
type Part struct {
	Region Name       `json:"region" validate:"required,max=64"`
	Intent api.Intent `json:"intent"`
}

// ReadIntent reads an intent for several regions and validates it against them.
// Its errs.Invalid error lists every fault.
func ReadIntent(file string, regions Regions) (Intent, error) {
	var out Intent
	if err := readJSON(file, &out); err != nil {
		return Intent{}, err
	}
	list := checker.Check(&out)
	out.checkShared(&list)
	seen := make(map[Name]bool, len(out.Regions))
	for _, part := range out.Regions {
		if !regions.contains(part.Region) {
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

// checkShared refuses shared items that belong to a single region.
func (in Intent) checkShared(list *faults.List) {
	for _, d := range in.Shared.Domains {
		list.Add("shared.domains", string(d.Name), "empty: a failure domain belongs to one region")
	}
	for _, sg := range in.Shared.ServingGroups {
		list.Add("shared.serving_groups", string(sg.Name), "empty: replicas are counted by region")
	}
}

// checkOverlap refuses items that are in both the shared intent and a part.
func (in Intent) checkOverlap(list *faults.List, part Part) {
	shared := make(map[string]bool)
	for _, item := range itemNames(in.Shared) {
		shared[item] = true
	}
	for _, item := range itemNames(part.Intent) {
		if shared[item] {
			list.Add(fmt.Sprintf("regions.%s", part.Region), item, "in shared or here, not both")
		}
	}
}

// itemNames returns the names of the accounts, services and weights that an intent
// sets or removes.
func itemNames(in api.Intent) []string {
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

// forRegion returns the complete intent for one region.
func (in Intent) forRegion(name Name) api.Intent {
	for _, part := range in.Regions {
		if part.Region == name {
			return merge(in.Shared, part.Intent)
		}
	}
	return in.Shared
}

// merge combines two intents without common items.
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

// join returns a new list, nil if both are empty.
func join[T any](a, b []T) []T {
	return append(append([]T(nil), a...), b...)
}

// isEmpty reports whether an intent changes nothing.
func isEmpty(in api.Intent) bool {
	n := len(in.ServingGroups) + len(in.Accounts) + len(in.Domains) + len(in.Services)
	n += len(in.Remove.ServingGroups) + len(in.Remove.Accounts) + len(in.Remove.Services)
	return n == 0 && in.Weights == nil
}
