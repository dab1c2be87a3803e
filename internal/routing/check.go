package routing

import (
	"fmt"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/faults"
)

// Check validates a publication and returns every fault.
func Check(p *api.Publication) faults.List {
	var list faults.List
	services := make(map[string]bool, len(p.Services))
	for i, s := range p.Services {
		if s.Name == "" || services[s.Name] {
			list.Add(fmt.Sprintf("services[%d].name", i), s.Name, "set and without repeats")
		}
		services[s.Name] = true
	}
	hostPaths := make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		checkRoute(&list, fmt.Sprintf("routes[%d]", i), &p.Routes[i], services, hostPaths)
	}
	checkAccounts(&list, p.Accounts)
	return list
}

func checkRoute(list *faults.List, at string, r *api.Route, services, hostPaths map[string]bool) {
	if r.Host == "" {
		list.Add(at+".host", r.Host, "set")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		list.Add(at+".path_prefix", r.PathPrefix, "begin and end with a slash")
	}
	hostPath := strings.ToLower(r.Host) + " " + r.PathPrefix
	if hostPaths[hostPath] {
		list.Add(at+".path_prefix", hostPath, "used by one route only")
	}
	hostPaths[hostPath] = true
	switch r.Kind {
	case api.CallIdempotent, api.CallOnce, api.CallStream:
	default:
		list.Add(at+".kind", string(r.Kind), "one of idempotent, once, stream")
	}
	if r.TimeoutMillis <= 0 {
		list.Add(at+".timeout_millis", r.TimeoutMillis, "at least 1")
	}
	checkSplit(list, at, r, services)
}

func checkSplit(list *faults.List, at string, r *api.Route, services map[string]bool) {
	sum := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			list.Add(at+".split.service", share.Service, "a service of the publication")
		}
		if share.Weight < 0 {
			list.Add(at+".split.weight", share.Weight, "at least 0")
		}
		sum += share.Weight
	}
	if sum <= 0 {
		list.Add(at+".split", sum, "weights that add up to at least 1")
	}
}

func checkAccounts(list *faults.List, accounts []api.PublishedAccount) {
	holders := make(map[string]api.AccountID)
	names := make(map[api.AccountID]bool)
	for i, a := range accounts {
		if a.ID == "" || names[a.ID] {
			list.Add(fmt.Sprintf("accounts[%d].id", i), string(a.ID), "set and without repeats")
		}
		names[a.ID] = true
		for _, hash := range a.KeyHashes {
			if holder, ok := holders[hash]; ok && holder != a.ID {
				list.Add(fmt.Sprintf("accounts[%d].keys", i), string(a.ID), "without a key of account %s", holder)
			}
			holders[hash] = a.ID
		}
	}
}
