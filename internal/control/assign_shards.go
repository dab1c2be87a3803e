package control

import (
	"cmp"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
)

// assignShards leases every shard that has groups or limited service servers to
// one eligible entry. A shard stays with its owner while the owner is live and
// not leaving. Otherwise it goes to an entry outside drained domains if there
// is one, then to one of its own failure domain, then to the one with the
// fewest shards.
func assignShards(v api.View) shardsCommand {
	var cmd shardsCommand
	wanted := wantedShards(v)
	owners := eligibleOwners(v)
	load := make(map[api.EntryID]int, len(owners))
	kept := make(map[api.ShardID]struct{}, len(v.Shards))
	for _, lease := range v.Shards {
		if _, ok := wanted[lease.Shard]; !ok {
			cmd.Remove = append(cmd.Remove, lease.Shard)
			continue
		}
		if mayOwn(owners, lease.Owner) {
			kept[lease.Shard] = struct{}{}
			load[lease.Owner]++
		}
	}
	if len(owners) == 0 {
		return cmd
	}
	for _, id := range sortedShards(wanted) {
		if _, ok := kept[id]; ok {
			continue
		}
		owner := pickOwner(owners, load, id.Domain)
		load[owner]++
		cmd.Assign = append(cmd.Assign, api.ShardLease{Shard: id, Owner: owner})
	}
	return cmd
}

// owner is an entry that may own shards.
type owner struct {
	id      api.EntryID
	domain  api.FailureDomain
	drained bool
}

func eligibleOwners(v api.View) []owner {
	drained := make(map[api.FailureDomain]bool, len(v.Domains))
	for _, d := range v.Domains {
		drained[d.Name] = d.State == api.DomainDrained
	}
	var out []owner
	for _, e := range v.Entries {
		if e.Live && !e.Leaving {
			out = append(out, owner{id: e.ID, domain: e.Domain, drained: drained[e.Domain]})
		}
	}
	return out
}

func mayOwn(owners []owner, id api.EntryID) bool {
	return slices.ContainsFunc(owners, func(o owner) bool { return o.id == id })
}

func wantedShards(v api.View) map[api.ShardID]struct{} {
	out := make(map[api.ShardID]struct{})
	for _, g := range v.Groups {
		out[api.ShardID{ServingGroup: g.ServingGroup, Domain: g.Domain}] = struct{}{}
	}
	for _, server := range v.Servers {
		if server.Limited() {
			out[api.ShardID{ServingGroup: api.ServiceShards(server.Service), Domain: server.Domain}] = struct{}{}
		}
	}
	return out
}

func sortedShards(set map[api.ShardID]struct{}) []api.ShardID {
	out := make([]api.ShardID, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b api.ShardID) int {
		return cmp.Or(cmp.Compare(a.ServingGroup, b.ServingGroup), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

func pickOwner(owners []owner, load map[api.EntryID]int, domain api.FailureDomain) api.EntryID {
	best := slices.MinFunc(owners, func(a, b owner) int {
		return cmp.Or(
			compareBool(a.drained, b.drained),
			compareBool(a.domain != domain, b.domain != domain),
			cmp.Compare(load[a.id], load[b.id]),
			cmp.Compare(a.id, b.id),
		)
	})
	return best.id
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
