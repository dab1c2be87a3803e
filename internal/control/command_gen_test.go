package control

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// drawCommand draws a command over small sets of names, so that commands affect
// the same rows.
func drawCommand(t *rapid.T, s *State) command {
	switch rapid.SampledFrom([]commandKind{
		kindPlan, kindDecide, kindGroup, kindGroup, kindGroup, kindGroup, kindEntryPut, kindEntryExpire,
		kindShards, kindServers, kindRecordOpen, kindRecordEnd, kindSuspect, kindQuarantine, kindExpire, kindLead,
		kindLease,
	}).Draw(t, "kind") {
	case kindPlan:
		return &planCommand{Operator: "amal", Intent: drawIntent(t), Base: s.ConfigRevision(), Limit: 8}
	case kindDecide:
		plan := rapid.Uint64Range(1, 20).Draw(t, "plan")
		return &decideCommand{Operator: "basim", Plan: api.PlanID(plan), Confirm: rapid.Bool().Draw(t, "confirm")}
	case kindGroup:
		return &groupCommand{Change: drawGroupChange(t, s)}
	case kindEntryPut:
		info := drawEntry(t)
		info.Live = true
		return &entryPutCommand{Info: info, RetentionMillis: 1000, Applied: s.Revision()}
	case kindEntryExpire:
		row, _ := s.entries.get(drawEntry(t).ID)
		term := rapid.Uint64Range(0, 2).Draw(t, "term")
		return &entryExpireCommand{ID: row.Info.ID, Registered: row.Registered, RetentionMillis: 1000, Term: term}
	case kindLead:
		return &leadCommand{Term: rapid.Uint64Range(0, 2).Draw(t, "term")}
	case kindLease:
		return &leaseCommand{Millis: 3000 * rapid.Int64Range(1, 3).Draw(t, "lease"), Term: rapid.Uint64Range(0, 2).Draw(t, "term")}
	case kindShards:
		cmd := assignShards(s.View())
		return &cmd
	case kindServers:
		host := api.HostID(drawName(t, "s", 3))
		if rapid.Bool().Draw(t, "remove") {
			return &serversCommand{Remove: []api.HostID{host}}
		}
		leaving := rapid.Bool().Draw(t, "leaving")
		return &serversCommand{Put: []api.ServiceServer{{Host: host, Service: "ledger", Leaving: leaving}}}
	case kindRecordOpen:
		return &recordOpenCommand{Record: drawRecord(t), Limits: fuzzRecordLimits}
	case kindRecordEnd:
		r := drawRecord(t)
		r.State = rapid.SampledFrom([]api.RecordState{api.RecordComplete, api.RecordUnknown, api.RecordNotRun}).Draw(t, "end")
		return &recordEndCommand{Record: r, Limits: fuzzRecordLimits}
	case kindSuspect:
		return &suspectCommand{
			Suspect: api.SuspectRequest{
				Fingerprint: drawName(t, "f", 4),
				Group:       api.GroupID(drawName(t, "g", 2)),
				Fencing:     api.Fencing(rapid.IntRange(1, 2).Draw(t, "fencing")),
				Alone:       rapid.Bool().Draw(t, "alone"),
			},
			Limits: QuarantineLimits{MaxRows: 3, SuspectMillis: 2000, QuarantineMillis: 5000},
		}
	case kindQuarantine:
		return drawQuarantine(t)
	}
	return &expireCommand{MaxRecords: 10}
}

func drawQuarantine(t *rapid.T) *quarantineCommand {
	name := drawName(t, "k", 4)
	actions := []api.QuarantineAction{api.QuarantineImpose, api.QuarantineTry, api.QuarantineExtend, api.QuarantineLift}
	return &quarantineCommand{
		Request: api.QuarantineRequest{
			Action: rapid.SampledFrom(actions).Draw(t, "action"), Fingerprint: name, Keys: []string{name}, Entry: "e1", Deaths: 3,
		},
		Limits: QuarantineLimits{MaxRows: 3, SuspectMillis: 2000, QuarantineMillis: 5000, HoldMillis: 1000, TrialMillis: 500},
	}
}

var fuzzRecordLimits = RecordLimits{MaxRecords: 6, MaxBytes: 1 << 20, MaxBody: 1 << 10, RetentionMillis: 1000}

func drawName(t *rapid.T, prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(1, n).Draw(t, prefix))
}

func drawEntry(t *rapid.T) api.EntryInfo {
	return api.EntryInfo{
		ID:          api.EntryID(drawName(t, "e", 3)),
		Incarnation: api.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Domain:      api.FailureDomain(drawName(t, "d", 2)),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

func drawRecord(t *rapid.T) api.Record {
	return api.Record{
		Account:     "a",
		Key:         drawName(t, "k", 4),
		BodyHash:    drawName(t, "b", 2),
		Request:     api.RequestID(drawName(t, "r", 3)),
		Entry:       api.EntryID(drawName(t, "e", 3)),
		Incarnation: api.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Status:      200,
		Body:        []byte("answer"),
	}
}

func drawIntent(t *rapid.T) api.Intent {
	var in api.Intent
	if rapid.Bool().Draw(t, "serving group") {
		sg := servingGroup(api.ServingGroupName(drawName(t, "sg", 2)))
		sg.Replicas = rapid.IntRange(0, 3).Draw(t, "replicas")
		in.ServingGroups = []api.ServingGroup{sg}
	}
	if rapid.Bool().Draw(t, "account") {
		in.Accounts = []api.Account{{ID: api.AccountID(drawName(t, "a", 2)), Share: rapid.IntRange(0, 3).Draw(t, "share")}}
	}
	if rapid.Bool().Draw(t, "domain") {
		state := rapid.SampledFrom([]api.DomainState{api.DomainActive, api.DomainDrained}).Draw(t, "state")
		in.Domains = []api.Domain{{Name: api.FailureDomain(drawName(t, "d", 2)), State: state}}
	}
	if rapid.Bool().Draw(t, "remove account") {
		in.Remove.Accounts = []api.AccountID{api.AccountID(drawName(t, "a", 2))}
	}
	return in
}

func drawHosts(t *rapid.T) []api.HostID {
	names := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4", "h5"})
	hosts := rapid.SliceOfNDistinct(names, 1, 3, rapid.ID[string]).Draw(t, "hosts")
	out := make([]api.HostID, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, api.HostID(h))
	}
	return out
}

func drawGroupChange(t *rapid.T, s *State) api.GroupChange {
	kinds := []api.GroupChangeKind{
		api.GroupForm, api.GroupForm, api.GroupReform, api.GroupSetPhase, api.GroupUpdate, api.GroupRelease, api.GroupFree, api.GroupFree,
	}
	change := api.GroupChange{Kind: rapid.SampledFrom(kinds).Draw(t, "change")}
	change.Group = api.Group{
		ID:           api.GroupID(drawName(t, "g", 3)),
		ServingGroup: api.ServingGroupName(drawName(t, "sg", 2)),
		Domain:       api.FailureDomain(drawName(t, "d", 2)),
		Members:      drawHosts(t),
		Phase:        rapid.SampledFrom([]api.GroupPhase{api.GroupReady, api.GroupBroken}).Draw(t, "phase"),
		Warm:         rapid.Bool().Draw(t, "warm"),
	}
	change.Host = change.Group.Members[0]
	if group, ok := s.groups.get(change.Group.ID); ok {
		change.Fencing = group.Fencing
	}
	if a, ok := s.assignments.get(change.Host); ok && change.Kind == api.GroupFree {
		change.Fencing = a.Fencing
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		change.Fencing--
	}
	return change
}
