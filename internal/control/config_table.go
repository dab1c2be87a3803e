package control

import (
	"fmt"
	"strings"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// configuration is the configuration set by operators.
type configuration struct {
	servingGroups *table[api.ServingGroupName, api.ServingGroup]
	accounts      *table[api.AccountID, api.Account]
	domains       *table[api.FailureDomain, api.Domain]
	services      *table[string, api.Service]
	mu            sync.RWMutex
	weights       api.Weights
}

// defaultWeights weighs the three measures equally.
var defaultWeights = api.Weights{Downtime: 1, Stranded: 1, DomainChange: 1}

func newConfiguration() *configuration {
	return &configuration{
		servingGroups: newTable[api.ServingGroupName, api.ServingGroup](),
		accounts:      newTable[api.AccountID, api.Account](),
		domains:       newTable[api.FailureDomain, api.Domain](),
		services:      newTable[string, api.Service](),
		weights:       defaultWeights,
	}
}

func (c *configuration) getWeights() api.Weights {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.weights
}

func (c *configuration) setWeights(w api.Weights) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weights = w
}

// merge applies an accepted intent to the configuration.
func (c *configuration) merge(t *tx, in api.Intent) {
	for _, sg := range in.ServingGroups {
		c.servingGroups.put(sg.Name, sg)
		t.markChanged(tableServingGroups, string(sg.Name))
	}
	for _, a := range in.Accounts {
		c.accounts.put(a.ID, a)
		t.markChanged(tableAccounts, string(a.ID))
	}
	for _, d := range in.Domains {
		c.domains.put(d.Name, d)
		t.markChanged(tableDomains, string(d.Name))
	}
	for _, svc := range in.Services {
		c.services.put(svc.Name, svc)
		t.markChanged(tableServices, svc.Name)
	}
	if in.Weights != nil {
		c.setWeights(*in.Weights)
	}
	c.remove(t, in.Remove)
}

func (c *configuration) remove(t *tx, r api.Removal) {
	for _, name := range r.ServingGroups {
		c.servingGroups.del(name)
		t.markChanged(tableServingGroups, string(name))
	}
	for _, id := range r.Accounts {
		c.accounts.del(id)
		t.markChanged(tableAccounts, string(id))
	}
	for _, name := range r.Services {
		c.services.del(name)
		t.markChanged(tableServices, name)
	}
}

// summarize describes an intent in one line for the history. The text is
// stored.
func summarize(in api.Intent) string {
	var parts []string
	for _, sg := range in.ServingGroups {
		parts = append(parts, fmt.Sprintf("serving group %s (%d x %d hosts)", sg.Name, sg.Replicas, sg.HostsPerReplica))
	}
	for _, a := range in.Accounts {
		parts = append(parts, fmt.Sprintf("account %s (class %d, share %d)", a.ID, a.Class, a.Share))
	}
	for _, d := range in.Domains {
		parts = append(parts, fmt.Sprintf("domain %s %s", d.Name, d.State))
	}
	for _, svc := range in.Services {
		parts = append(parts, "service "+svc.Name)
	}
	if in.Weights != nil {
		parts = append(parts, "weights")
	}
	parts = append(parts, summarizeRemoval(in.Remove)...)
	return strings.Join(parts, ", ")
}

func summarizeRemoval(r api.Removal) []string {
	parts := make([]string, 0, len(r.ServingGroups)+len(r.Accounts)+len(r.Services))
	for _, name := range r.ServingGroups {
		parts = append(parts, "remove serving group "+string(name))
	}
	for _, id := range r.Accounts {
		parts = append(parts, "remove account "+string(id))
	}
	for _, name := range r.Services {
		parts = append(parts, "remove service "+name)
	}
	return parts
}
