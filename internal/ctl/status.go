package ctl

import (
	"fmt"
	"io"
	"sort"
	"strconv"

	"github.com/crocusway/crocusway/internal/api"
)

func printStatus(w io.Writer, s api.StatusResponse) error {
	steps := []func(io.Writer, api.StatusResponse) error{printSummary, printVoters, printEntries, printDomains, printGroups}
	for _, step := range steps {
		if err := step(w, s); err != nil {
			return err
		}
	}
	return nil
}

func printSummary(w io.Writer, s api.StatusResponse) error {
	_, err := fmt.Fprintf(w, "Leader %s, term %d, revision %d\n"+
		"Last hour: group downtime %.0f replica-seconds, stranded %.0f host-seconds, not serving %.0f host-seconds\n"+
		"Last hour, during failure domain changes: %d of %d requests served\n",
		s.Leader, s.Term, s.View.Revision, s.Measures.GroupDowntime, s.Measures.Stranded, s.Measures.NotServing,
		s.Measures.Service.Served, s.Measures.Service.Ended)
	return err
}

func printVoters(w io.Writer, s api.StatusResponse) error {
	rows := make([][]string, 0, len(s.Voters))
	for _, v := range s.Voters {
		rows = append(rows, []string{string(v.ID), v.Address, v.Role, strconv.FormatUint(v.Match, 10)})
	}
	return table(w, []string{"Voter", "Address", "Role", "Match"}, rows)
}

func printEntries(w io.Writer, s api.StatusResponse) error {
	rows := make([][]string, 0, len(s.View.Entries))
	for _, e := range s.View.Entries {
		rows = append(rows, []string{string(e.ID), e.CallerAddress, string(e.Domain), entryState(e)})
	}
	return table(w, []string{"Entry", "Address", "Domain", "State"}, rows)
}

func entryState(e api.EntryInfo) string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.Live:
		return "live"
	default:
		return "lost"
	}
}

// domainRow holds the state and the host counts of one failure domain.
type domainRow struct {
	state api.DomainState
	hosts int
	alive int
}

func printDomains(w io.Writer, s api.StatusResponse) error {
	byName := make(map[api.FailureDomain]*domainRow)
	row := func(name api.FailureDomain) *domainRow {
		if byName[name] == nil {
			byName[name] = &domainRow{state: api.DomainActive}
		}
		return byName[name]
	}
	for _, d := range s.View.Domains {
		row(d.Name).state = d.State
	}
	for _, h := range s.Hosts {
		r := row(h.Announcement.Domain)
		r.hosts++
		if h.Alive {
			r.alive++
		}
	}
	rows := make([][]string, 0, len(byName))
	for name, r := range byName {
		rows = append(rows, []string{string(name), string(r.state), strconv.Itoa(r.alive), strconv.Itoa(r.hosts)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return table(w, []string{"Domain", "State", "Hosts alive", "Hosts known"}, rows)
}

func printGroups(w io.Writer, s api.StatusResponse) error {
	rows := make([][]string, 0, len(s.View.ServingGroups))
	for _, sg := range s.View.ServingGroups {
		counts := make(map[api.GroupPhase]int)
		for _, g := range s.View.Groups {
			if g.ServingGroup == sg.Name {
				counts[g.Phase]++
			}
		}
		rows = append(rows, []string{
			string(sg.Name),
			strconv.Itoa(sg.Replicas),
			strconv.Itoa(counts[api.GroupReady]),
			strconv.Itoa(counts[api.GroupLoading]),
			strconv.Itoa(counts[api.GroupBroken]),
			strconv.Itoa(counts[api.GroupReleasing]),
		})
	}
	return table(w, []string{"Serving group", "Wanted", "Ready", "Loading", "Broken", "Releasing"}, rows)
}
