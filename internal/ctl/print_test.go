package ctl

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/region"
)

func samplePlan() api.Plan {
	return api.Plan{
		ID: 12, Base: 7, State: api.PlanPending, Operator: "amal",
		Consequences: []api.Consequence{
			{Kind: api.ConsequenceCreate, Subject: "serving group scribe", Detail: "50 replicas of 4 hosts"},
			{Kind: api.ConsequenceUnmet, Subject: "serving group scribe", Detail: "3 replicas lack hosts in tanta"},
		},
	}
}

func sampleStatus() api.StatusResponse {
	return api.StatusResponse{
		Leader: "e1", Term: 3,
		Voters: []api.VoterStatus{{ID: "e1", Address: "127.0.0.1:7100", Role: "leader", Match: 40}},
		View: api.View{
			Revision:      40,
			ServingGroups: []api.ServingGroup{{Name: "scribe", Replicas: 2}},
			Domains:       []api.Domain{{Name: "cairo", State: api.DomainDrained}},
			Groups: []api.Group{
				{ID: "scribe-1", ServingGroup: "scribe", Phase: api.GroupReady},
				{ID: "scribe-2", ServingGroup: "scribe", Phase: api.GroupLoading},
			},
			Entries: []api.EntryInfo{
				{ID: "e1", CallerAddress: "127.0.0.1:7200", Domain: "cairo", Live: true},
				{ID: "e2", CallerAddress: "127.0.0.1:7201", Domain: "tanta"},
			},
		},
		Hosts:    []api.HostStatus{{Announcement: api.Announcement{Host: "h1", Domain: "cairo"}, Alive: true}},
		Measures: api.MeasureStatus{GroupDowntime: 12.4, Stranded: 3, NotServing: 9},
	}
}

func sampleChange() region.Change {
	return region.Change{Version: 1, Steps: []region.Step{
		{Region: "delta", State: region.Accepted, Plan: 12, Revision: 40, InForce: true, Reached: true, Consequences: samplePlan().Consequences},
		{Region: "oasis", State: region.Pending, Reason: "no answer"},
	}}
}

func sampleOverview() region.Overview {
	return region.Overview{
		Regions: []region.Summary{
			{Region: "delta", Reached: true, Leader: "e1", Revision: 40, Entries: 4, LiveEntries: 3, Wanted: 6, Ready: 5, Drained: []string{"cairo"}},
			{Region: "oasis", Reason: "no answer"},
		},
		Differences: []region.Difference{{Item: "account shop", Regions: []region.Name{"oasis"}}},
	}
}

func TestPrintGolden(t *testing.T) {
	cases := []struct {
		name   string
		result any
	}{
		{"plan", samplePlan()},
		{"plans", []api.Plan{samplePlan()}},
		{"status", sampleStatus()},
		{"in_force", api.DecideResponse{Plan: api.Plan{ID: 12, State: api.PlanConfirmed, Decided: 13}, InForce: true}},
		{"held_out", api.DecideResponse{Plan: api.Plan{ID: 12, State: api.PlanConfirmed, Decided: 13}, HeldOut: []api.EntryID{"e2", "e4"}}},
		{"rejected", api.DecideResponse{Plan: api.Plan{ID: 12, State: api.PlanRejected, Decided: 13}}},
		{"history", []api.HistoryItem{{Revision: 13, Plan: 12, Operator: "amal", UnixMillis: 1700000000000, Summary: "drain cairo"}}},
		{"region_change", sampleChange()},
		{"region_overview", sampleOverview()},
	}
	for _, c := range cases {
		for _, asJSON := range []bool{false, true} {
			name := c.name
			if asJSON {
				name += "_json"
			}
			t.Run(name, func(t *testing.T) {
				var out bytes.Buffer
				require.NoError(t, builder{out: &out}.print(c.result, asJSON))
				goldie.New(t).Assert(t, name, out.Bytes())
			})
		}
	}
}
