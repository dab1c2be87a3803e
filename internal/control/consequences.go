package control

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
)

// Forecaster predicts the effect of an intent on hosts, groups and capacity.
type Forecaster interface {
	Forecast(fleet api.FleetView, intent api.Intent) []api.Consequence
}

// consequencesOf lists what an intent creates, changes and removes.
func consequencesOf(s *State, in api.Intent) []api.Consequence {
	var out []api.Consequence
	for _, sg := range in.ServingGroups {
		old, ok := s.config.servingGroups.get(sg.Name)
		out = appendChange(out, "serving group "+string(sg.Name), ok, old, sg, describeServingGroup)
	}
	for _, a := range in.Accounts {
		old, ok := s.config.accounts.get(a.ID)
		out = appendChange(out, "account "+string(a.ID), ok, old, a, describeAccount)
	}
	for _, d := range in.Domains {
		old, ok := s.config.domains.get(d.Name)
		out = appendChange(out, "domain "+string(d.Name), ok, old, d, describeDomain)
	}
	for _, svc := range in.Services {
		old, ok := s.config.services.get(svc.Name)
		out = appendChange(out, "service "+svc.Name, ok, old, svc, describeService)
	}
	if in.Weights != nil {
		out = appendChange(out, "weights", true, s.config.getWeights(), *in.Weights, describeWeights)
	}
	return append(out, removals(in.Remove)...)
}

func appendChange[V any](out []api.Consequence, subject string, exists bool, old, now V, describe func(V) string) []api.Consequence {
	if !exists {
		return append(out, api.Consequence{Kind: api.ConsequenceCreate, Subject: subject, Detail: describe(now)})
	}
	if reflect.DeepEqual(old, now) {
		return out
	}
	detail := fmt.Sprintf("from %s to %s", describe(old), describe(now))
	return append(out, api.Consequence{Kind: api.ConsequenceChange, Subject: subject, Detail: detail})
}

func describeServingGroup(sg api.ServingGroup) string {
	return fmt.Sprintf("model %s, %d replicas of %d hosts, %d spares a fabric domain, domains %v, checks fencing %t, %d bytes a host, importance %d",
		sg.Model, sg.Replicas, sg.HostsPerReplica, sg.Spares, sg.Domains, sg.ChecksFencing, sg.LoadBytes, sg.Importance)
}

func describeAccount(a api.Account) string {
	return fmt.Sprintf("class %d, share %d, %d keys", a.Class, a.Share, len(a.KeyHashes))
}

func describeDomain(d api.Domain) string { return string(d.State) }

func describeService(s api.Service) string {
	return fmt.Sprintf("repeatable paths %v", s.RepeatablePaths)
}

func describeWeights(w api.Weights) string {
	return fmt.Sprintf("downtime %g, stranded %g, domain change %g", w.Downtime, w.Stranded, w.DomainChange)
}

func removals(r api.Removal) []api.Consequence {
	var out []api.Consequence
	add := func(subject string) {
		out = append(out, api.Consequence{Kind: api.ConsequenceRemove, Subject: subject, Detail: "removed"})
	}
	for _, name := range r.ServingGroups {
		add("serving group " + string(name))
	}
	for _, id := range r.Accounts {
		add("account " + string(id))
	}
	for _, name := range r.Services {
		add("service " + name)
	}
	return out
}

// newlyUnmet lists the requirements that can't be met now and that the plan did
// not list as unmet.
func newlyUnmet(plan api.Plan, now []api.Consequence) []api.Consequence {
	predicted := make(map[string]struct{})
	for _, c := range plan.Consequences {
		if c.Kind == api.ConsequenceUnmet {
			predicted[c.Subject] = struct{}{}
		}
	}
	var out []api.Consequence
	for _, c := range now {
		if _, ok := predicted[c.Subject]; c.Kind == api.ConsequenceUnmet && !ok {
			out = append(out, c)
		}
	}
	return out
}

// describe joins consequences in one line.
func describe(list []api.Consequence) string {
	parts := make([]string, 0, len(list))
	for _, c := range list {
		parts = append(parts, c.Subject+": "+c.Detail)
	}
	return strings.Join(parts, "; ")
}

// configView returns what an intent is checked against.
func (s *State) configView(hosts []api.HostStatus) configView {
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	cfg := configView{
		servingGroups: s.config.servingGroups.clone(),
		accounts:      s.config.accounts.clone(),
		services:      s.config.services.clone(),
		domains:       make(map[api.FailureDomain]struct{}),
	}
	for name := range s.config.domains.clone() {
		cfg.domains[name] = struct{}{}
	}
	for _, h := range hosts {
		cfg.domains[h.Announcement.Domain] = struct{}{}
	}
	for _, e := range s.entryInfos() {
		cfg.domains[e.Domain] = struct{}{}
	}
	return cfg
}
