package group_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func TestForecast(t *testing.T) {
	for name, intent := range map[string]api.Intent{
		"create": {ServingGroups: []api.ServingGroup{{
			Name: "ledger", Model: "ledger-8b", Replicas: 2, HostsPerReplica: 2,
		}}},
		"drain":  {Domains: []api.Domain{{Name: "d1", State: api.DomainDrained}}},
		"remove": {Remove: api.Removal{ServingGroups: []api.ServingGroupName{"scribe"}}},
		"fewer":  {ServingGroups: []api.ServingGroup{scribe(1, 4)}},
		"resize": {ServingGroups: []api.ServingGroup{scribe(2, 2)}},
		"drain-without-room": {
			Domains: []api.Domain{{Name: "d2", State: api.DomainDrained}},
		},
		"unmet": {ServingGroups: []api.ServingGroup{scribe(9, 4)}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testPolicy(), scribe(2, 4))
			r.add("f1", "d1", 5, true)
			r.add("f2", "d2", 9, true)
			r.step(time.Minute)
			require.Equal(t, 2, r.ready())
			before := r.model.View()
			got := r.rec.Forecast(before, intent)
			require.Equal(t, before, r.model.View(), "the fleet is not changed")
			out, err := json.MarshalIndent(got, "", "  ")
			require.NoError(t, err)
			goldie.New(t).Assert(t, "forecast-"+name, append(out, '\n'))
		})
	}
}
