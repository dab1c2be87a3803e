package control

import (
	"cmp"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// ApplyUpdate returns the view after an update. It fails with errs.Stale when
// the update leads to a lower revision or does not start at the revision of the
// view; the caller then watches again from its own revision. The inputs are not
// modified.
func ApplyUpdate(v api.View, u api.ViewUpdate) (api.View, error) {
	const step = "apply update"
	if u.To < v.Revision {
		return v, refuse(errs.Stale, step, "update leads to revision %d, the view is at %d", u.To, v.Revision)
	}
	if u.Full {
		full := u.Upsert
		full.Revision = u.To
		return full, nil
	}
	if u.From != v.Revision {
		return v, refuse(errs.Stale, step, "update starts at revision %d, the view is at %d", u.From, v.Revision)
	}
	up, removed := u.Upsert, u.Removed
	return api.View{
		Revision:      u.To,
		LeaseMillis:   up.LeaseMillis,
		ServingGroups: mergeRows(v.ServingGroups, up.ServingGroups, removed.ServingGroups, servingGroupKey),
		Accounts:      mergeRows(v.Accounts, up.Accounts, removed.Accounts, accountKey),
		Domains:       mergeRows(v.Domains, up.Domains, removed.Domains, domainKey),
		Services:      mergeRows(v.Services, up.Services, removed.Services, serviceKey),
		Groups:        mergeRows(v.Groups, up.Groups, removed.Groups, groupKey),
		Entries:       mergeRows(v.Entries, up.Entries, removed.Entries, entryKey),
		Shards:        mergeRows(v.Shards, up.Shards, shardKeys(removed.Shards), leaseKey),
		Servers:       mergeRows(v.Servers, up.Servers, removed.Servers, serverKey),
		Quarantines:   mergeRows(v.Quarantines, up.Quarantines, removed.Quarantines, quarantineKey),
		Publication:   cmp.Or(up.Publication, v.Publication),
		Departures:    mergeRows(v.Departures, up.Departures, removed.Departures, departureKey),
	}, nil
}

func servingGroupKey(sg api.ServingGroup) api.ServingGroupName { return sg.Name }
func accountKey(a api.Account) api.AccountID                   { return a.ID }
func domainKey(d api.Domain) api.FailureDomain                 { return d.Name }
func serviceKey(s api.Service) string                          { return s.Name }
func groupKey(g api.Group) api.GroupID                         { return g.ID }
func entryKey(e api.EntryInfo) api.EntryID                     { return e.ID }
func leaseKey(l api.ShardLease) string                         { return shardKey(l.Shard) }
func serverKey(s api.ServiceServer) api.HostID                 { return s.Host }
func quarantineKey(q api.Quarantine) string                    { return q.Fingerprint }
func departureKey(d api.Departure) api.HostID                  { return d.Host }
func assignmentKey(a api.Assignment) api.HostID                { return a.Host }

func shardKeys(ids []api.ShardID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, shardKey(id))
	}
	return out
}

// mergeRows upserts and removes rows of a sorted list and returns a new list,
// or the same one when nothing changes.
func mergeRows[K cmp.Ordered, V any](rows, upsert []V, removed []K, key func(V) K) []V {
	if len(upsert) == 0 && len(removed) == 0 {
		return rows
	}
	replaced := make(map[K]struct{}, len(upsert)+len(removed))
	for _, row := range upsert {
		replaced[key(row)] = struct{}{}
	}
	for _, k := range removed {
		replaced[k] = struct{}{}
	}
	out := make([]V, 0, len(rows)+len(upsert))
	for _, row := range rows {
		if _, ok := replaced[key(row)]; !ok {
			out = append(out, row)
		}
	}
	out = append(out, upsert...)
	if len(out) == 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	return out
}
