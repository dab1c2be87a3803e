package control

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/routing"
)

// applied runs a command on a state.
func applied(t *testing.T, s *State, cmd command) any {
	t.Helper()
	data, err := encodeCommand(cmd, 1000)
	require.NoError(t, err)
	return s.Apply(1, data)
}

func unpackedRow(version uint64, text string, models ...api.EngineModel) unpackedPublicationRow {
	p := api.Publication{Version: version, Routes: []api.Route{{Name: text}}}
	if len(models) > 0 {
		p.Services = []api.PublishedService{{Name: "scribe", Engine: &api.EngineProfile{Models: models}}}
	}
	return unpackedPublicationRow{Publication: p, Source: []byte(text)}
}

func publish(version uint64, text string, models ...api.EngineModel) *publishCommand {
	unpacked := unpackedRow(version, text, models...)
	row, err := unpacked.pack()
	if err != nil {
		panic(err)
	}
	return &publishCommand{*row}
}

// storedSource returns the text of the stored publication.
func storedSource(t *testing.T, s *State) string {
	t.Helper()
	source, err := routing.Decompress(s.publication.load().Source)
	require.NoError(t, err)
	return string(source)
}

func TestHighestPublicationStays(t *testing.T) {
	s := NewState()
	for _, c := range []struct {
		version uint64
		text    string
		changed bool
		stored  uint64
		source  string
	}{
		{7, "seven", true, 7, "seven"},
		{7, "seven", false, 7, "seven"},
		{7, "other", false, 7, "seven"},
		{3, "three", false, 7, "seven"},
		{12, "twelve", true, 12, "twelve"},
		{7, "seven", false, 12, "twelve"},
	} {
		before := s.Revision()
		response, ok := applied(t, s, publish(c.version, c.text)).(api.PublishResponse)
		require.True(t, ok)
		require.Equal(t, c.changed, response.Changed)
		require.Equal(t, c.stored, response.Stored)
		require.Equal(t, c.changed, s.Revision() > before)
		require.Equal(t, c.source, storedSource(t, s))
	}
}

func TestPublicationSurvivesASnapshot(t *testing.T) {
	s := NewState()
	applied(t, s, publish(4, "four", api.EngineModel{Name: "m", Hosts: 4, Share: 1}))
	applied(t, s, &departCommand{Host: "h1", Incarnation: 3, RetentionMillis: 1000})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := NewState()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, s.View(), restored.View())
	require.Equal(t, "four", storedSource(t, restored))
}

func TestPublicationsOfEarlierReleasesAreRead(t *testing.T) {
	model := api.EngineModel{Name: "m", Hosts: 4, Share: 1}
	want := NewState()
	applied(t, want, publish(4, "four", model))

	fromLog := NewState()
	applied(t, fromLog, &unpackedPublishCommand{unpackedRow(4, "four", model)})
	require.Equal(t, want.View(), fromLog.View())
	require.Equal(t, "four", storedSource(t, fromLog))

	img, _ := want.copy()
	old := unpackedRow(4, "four", model)
	img.Publication, img.UnpackedPublication = nil, &old
	data, err := encMode.Marshal(img)
	require.NoError(t, err)
	fromSnapshot := NewState()
	require.NoError(t, fromSnapshot.Restore(data))
	require.Equal(t, want.View(), fromSnapshot.View())
	require.Equal(t, "four", storedSource(t, fromSnapshot))
}

func TestPublicationReachesEntries(t *testing.T) {
	s := NewState()
	from := s.View()
	applied(t, s, publish(4, "four"))
	applied(t, s, &departCommand{Host: "h1", Incarnation: 3, RetentionMillis: 1000})
	view, err := ApplyUpdate(from, s.Update(from.Revision))
	require.NoError(t, err)
	require.Equal(t, s.View(), view)
	applied(t, s, &departCommand{Host: "h2", Incarnation: 1, RetentionMillis: 1000})
	next, err := ApplyUpdate(view, s.Update(view.Revision))
	require.NoError(t, err)
	require.Equal(t, uint64(4), next.Publication.Version, "an update without a publication keeps it")
	require.Len(t, next.Departures, 2)
}

func TestServingGroupsFollowThePublication(t *testing.T) {
	s := NewState()
	own := api.ServingGroup{Name: "planned", Model: "p", HostsPerReplica: 2}
	s.config.servingGroups.put(own.Name, own)
	applied(t, s, publish(1, "a", api.EngineModel{Name: "m", Hosts: 4, Share: 1}, api.EngineModel{Name: "n", Hosts: 3, Share: 1}))
	require.Len(t, s.Fleet().ServingGroups, 3)
	applied(t, s, publish(2, "b", api.EngineModel{Name: "n", Hosts: 2, Share: 1}))
	fleet := s.Fleet()
	require.Len(t, fleet.ServingGroups, 2)
	require.Equal(t, own, fleet.ServingGroups[0], "serving groups created by plans stay")
	require.Equal(t, 2, fleet.ServingGroups[1].HostsPerReplica)
	before := s.Revision()
	applied(t, s, publish(3, "c", api.EngineModel{Name: "n", Hosts: 2, Share: 1}))
	keys, ok := s.changes.since(before)
	require.True(t, ok)
	require.Equal(t, []viewKey{{tablePublication, ""}}, keys, "unchanged serving groups are not marked as changed")
}

func TestDomainStateIsIdempotent(t *testing.T) {
	s := NewState()
	out := &domainCommand{Domain: api.Domain{Name: "cairo", State: api.DomainDrained}, Operator: "o"}
	applied(t, s, out)
	at := s.Revision()
	require.Equal(t, api.DomainResponse{Revision: at}, applied(t, s, out), "a resend changes nothing")
	require.Equal(t, at, s.Required(), "entries must apply it to renew their lease")
	applied(t, s, &domainCommand{Domain: api.Domain{Name: "cairo", State: api.DomainActive}, Operator: "o"})
	require.Equal(t, api.DomainActive, s.View().Domains[0].State)
}

func TestDepartureCoversOlderIncarnations(t *testing.T) {
	s := NewState()
	depart := func(host api.HostID, incarnation api.Incarnation) {
		applied(t, s, &departCommand{Host: host, Incarnation: incarnation, RetentionMillis: 500})
	}
	depart("h1", 5)
	depart("h1", 4)
	require.Equal(t, api.Incarnation(5), s.View().Departures[0].Incarnation)
	data, err := encodeCommand(&departCommand{Host: "h2", Incarnation: 1, RetentionMillis: 500}, 2000)
	require.NoError(t, err)
	s.Apply(9, data)
	require.Len(t, s.View().Departures, 1, "old departures are deleted")
	require.Equal(t, api.HostID("h2"), s.View().Departures[0].Host)
}

func TestDepartedHostLeavesAtOnce(t *testing.T) {
	hosts := newHostTable(100, time.Second, time.Unix(0, 0), time.Unix(0, 0))
	now := time.Unix(10, 0)
	hosts.update(api.Announcement{Host: "h1", Incarnation: 2, Sequence: 1}, livenessReport{now: now, seenUntil: now})
	hosts.depart("h1", 1)
	row, _ := hosts.get("h1")
	require.False(t, row.announcement.Leaving, "an older incarnation departed")
	hosts.depart("h1", 2)
	row, _ = hosts.get("h1")
	require.True(t, row.announcement.Leaving)
}

func TestProgressTable(t *testing.T) {
	now := time.Unix(100, 0)
	table := newProgressTable()
	groups := []api.Group{{ID: "g", Fencing: 2}}
	require.Empty(t, table.groupProgress(groups, now))
	report := func(entry api.EntryID, fencing api.Fencing, age int64, stalled bool) bool {
		return table.update(api.ProgressReport{Entry: entry, Groups: []api.GroupProgress{
			{Group: "g", Fencing: fencing, AnsweredMillis: age, Stalled: stalled},
		}}, now)
	}
	require.False(t, report("e1", 2, 100, false))
	require.Equal(t, int64(100), table.groupProgress(groups, now)[0].AnsweredMillis)
	now = now.Add(800 * time.Millisecond)
	require.True(t, report("e1", 2, 900, true), "newly stalled")
	require.False(t, report("e2", 2, 900, true), "already stalled")
	require.True(t, table.groupProgress(groups, now)[0].Stalled)
	now = now.Add(100 * time.Millisecond)
	report("e2", 2, 0, false)
	require.False(t, table.groupProgress(groups, now)[0].Stalled, "an answer arrived since")
	report("e1", 1, 0, true)
	require.False(t, table.groupProgress(groups, now)[0].Stalled, "of an older generation")
	require.Empty(t, table.groupProgress([]api.Group{{ID: "g", Fencing: 3}}, now), "of another generation")
	table.evict(func(api.GroupID) bool { return false })
	require.Empty(t, table.groupProgress(groups, now))
}

// TestReplicaThatAnswersAnotherEntryIsNotStalled guards against the release of a sound
// replica that is slow to answer one entry.
func TestReplicaThatAnswersAnotherEntryIsNotStalled(t *testing.T) {
	now := time.Unix(100, 0)
	table := newProgressTable()
	groups := []api.Group{{ID: "g", Fencing: 2}}
	report := func(entry api.EntryID, age int64, stalled bool) {
		table.update(api.ProgressReport{Entry: entry, Groups: []api.GroupProgress{
			{Group: "g", Fencing: 2, AnsweredMillis: age, Stalled: stalled},
		}}, now)
	}
	report("e2", 185, false)
	report("e1", 500, true)
	require.False(t, table.groupProgress(groups, now)[0].Stalled)
	now = now.Add(400 * time.Millisecond)
	report("e1", 900, true)
	require.True(t, table.groupProgress(groups, now)[0].Stalled, "no entry has had an answer since")
}

func TestMembershipPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(id api.VoterID) consensus.Member { return consensus.Member{ID: id, Incarnation: 1} }
	voter := func(id api.VoterID) consensus.MemberStatus { return consensus.MemberStatus{Member: member(id)} }
	learner := func(id api.VoterID) consensus.MemberStatus {
		status := consensus.MemberStatus{Member: member(id), CaughtUp: true}
		status.Learner = true
		return status
	}
	rejoining := func(id api.VoterID) consensus.MemberStatus {
		status := learner(id)
		status.Rejoining = true
		return status
	}
	silent := func(status consensus.MemberStatus, silence time.Duration) consensus.MemberStatus {
		status.Silence = silence
		return status
	}
	lost := func(id api.VoterID) consensus.MemberStatus { return silent(voter(id), 2*voterTimeout) }
	behind := func(id api.VoterID) consensus.MemberStatus {
		status := learner(id)
		status.CaughtUp = false
		return status
	}
	unanswered := func(id api.VoterID) consensus.MemberStatus {
		status := learner(id)
		status.Incarnation = 0
		return status
	}
	members := func(list ...consensus.MemberStatus) []consensus.MemberStatus { return list }
	three := members(voter("a"), voter("b"), voter("c"))
	in := func(domain string) enrolled {
		return enrolled{address: "a", domain: api.FailureDomain(domain), seen: now}
	}
	leaving := func(domain string) enrolled {
		row := in(domain)
		row.leaving = true
		return row
	}
	old := enrolled{address: "a", domain: "a", seen: now.Add(-2 * enrollTimeout)}
	type rows = map[api.VoterID]enrolled
	with := func(more rows) rows {
		out := rows{"a": in("x"), "b": in("y"), "c": in("z")}
		maps.Copy(out, more)
		return out
	}
	cases := []struct {
		name     string
		members  []consensus.MemberStatus
		enrolled rows
		wanted   int
		kind     consensus.ChangeKind
		id       api.VoterID
	}{
		{"nothing to do", three, with(nil), 3, "", ""},
		{"a running daemon becomes a learner", three, with(rows{"d": in("x")}), 3, consensus.ChangeAddLearner, "d"},
		{"a daemon that is silent again", three, with(rows{"d": old}), 3, "", ""},
		{"a daemon that shuts down", three, with(rows{"d": leaving("x")}), 3, "", ""},
		{"a learner is not promoted beside three voters", append(three[:3:3], learner("d")), with(rows{"d": in("x")}), 3, "", ""},
		{"a learner replaces a lost voter", members(voter("a"), lost("b"), voter("c"), learner("d")), with(rows{"d": in("y")}), 3, consensus.ChangePromote, "d"},
		{"then the lost voter is removed", members(voter("a"), lost("b"), voter("c"), voter("d")), with(rows{"d": in("y")}), 3, consensus.ChangeRemove, "b"},
		{"a lost voter without a learner stays", members(voter("a"), lost("b"), voter("c")), with(nil), 3, "", ""},
		{
			"a voter that is silent for less than the timeout stays",
			members(voter("a"), silent(voter("b"), voterTimeout), voter("c"), learner("d")), with(rows{"d": in("y")}), 3, "", "",
		},
		{"a learner replaces a voter that shuts down", append(three[:3:3], learner("d")), with(rows{"b": leaving("y"), "d": in("y")}), 3, consensus.ChangePromote, "d"},
		{"then that voter is removed", append(three[:3:3], voter("d")), with(rows{"b": leaving("y"), "d": in("y")}), 3, consensus.ChangeRemove, "b"},
		{"the leader that shuts down is removed", append(three[:3:3], voter("d")), with(rows{"a": leaving("x"), "d": in("x")}), 3, consensus.ChangeRemove, "a"},
		{
			"a successor that is lost too is removed first, as the old voter still votes",
			append(three[:3:3], lost("d")), with(rows{"b": leaving("y"), "d": in("y")}), 3, consensus.ChangeRemove, "d",
		},
		{"a voter that shuts down without a learner stays", three, with(rows{"b": leaving("y")}), 3, "", ""},
		{"a learner that has not caught up", members(voter("a"), lost("b"), voter("c"), behind("d")), with(rows{"d": in("y")}), 3, "", ""},
		{"a learner that has not answered", members(voter("a"), lost("b"), voter("c"), unanswered("d")), with(rows{"d": in("y")}), 3, "", ""},
		{"a learner that shuts down", members(voter("a"), lost("b"), voter("c"), learner("d")), with(rows{"d": leaving("y")}), 3, "", ""},
		{
			"a learner that may be lost",
			members(voter("a"), lost("b"), voter("c"), silent(learner("d"), 2*candidateTimeout)), with(rows{"d": in("y")}), 3, "", "",
		},
		{"a learner that is lost", append(three[:3:3], silent(learner("d"), 2*learnerTimeout)), with(rows{"d": in("y")}), 3, consensus.ChangeRemove, "d"},
		{"the learner of the lost voter's domain", members(voter("a"), lost("b"), voter("c"), learner("d"), learner("e")), with(rows{"d": in("x"), "e": in("y")}), 3, consensus.ChangePromote, "e"},
		{"of two lost voters one is replaced first", members(voter("a"), lost("b"), lost("c"), voter("d"), voter("e"), learner("f")), with(rows{"d": in("y"), "e": in("z"), "f": in("y")}), 5, consensus.ChangePromote, "f"},
		{"and removed before the next is replaced", members(voter("a"), lost("b"), lost("c"), voter("d"), voter("e"), voter("f"), learner("g")), with(rows{"d": in("y"), "e": in("z"), "f": in("y"), "g": in("z")}), 5, consensus.ChangeRemove, "b"},
		{"a voter that has not enrolled at a new leader", three, rows{"a": in("x"), "c": in("z")}, 3, "", ""},
		{"a voter that rejoins is not replaced", members(voter("a"), rejoining("b"), voter("c"), learner("d")), with(rows{"d": in("x")}), 3, "", ""},
		{"more voters are wanted", append(three[:3:3], learner("d"), learner("e")), with(rows{"d": in("x"), "e": in("w")}), 5, consensus.ChangePromote, "e"},
		{"the leader is never lost", members(lost("a"), voter("b"), voter("c"), learner("d")), with(rows{"d": in("x")}), 3, "", ""},
		{"a voter in the domain of another gives way", append(three[:3:3], learner("d")), with(rows{"c": in("x"), "d": in("z")}), 3, consensus.ChangePromote, "d"},
		{"and is removed, rather than the leader", append(three[:3:3], voter("d")), with(rows{"c": in("x"), "d": in("z")}), 3, consensus.ChangeRemove, "c"},
		{"no voter gives way while a domain is unknown", append(three[:3:3], learner("d")), rows{"a": in("x"), "c": in("x"), "d": in("z")}, 3, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := membershipInput{members: c.members, enrolled: c.enrolled, self: "a", wanted: c.wanted, now: now}
			change, reason := f.plan()
			require.Equal(t, c.kind, change.Kind, reason)
			require.Equal(t, c.id, change.Member.ID)
			require.Equal(t, c.kind != "", reason != "", "every change has a reason")
		})
	}
}

// A control daemon that got SIGTERM ended before another one voted in its place.
func TestLeavingVoterWaitsForItsReplacement(t *testing.T) {
	now := time.Unix(1000, 0)
	status := func(id api.VoterID, isLearner bool) consensus.MemberStatus {
		return consensus.MemberStatus{Member: consensus.Member{ID: id, Incarnation: 1, Learner: isLearner}}
	}
	three := []consensus.MemberStatus{status("a", false), status("b", false), status("c", false)}
	row := enrolled{address: "a", domain: "x", seen: now}
	gone := enrolled{address: "a", domain: "x", seen: now.Add(-2 * enrollTimeout)}
	silent := status("d", true)
	silent.Silence = 2 * voterTimeout
	for _, c := range []struct {
		name     string
		members  []consensus.MemberStatus
		enrolled map[api.VoterID]enrolled
		waits    bool
	}{
		{"nobody can take its place", three, nil, false},
		{"a daemon that is about to become a learner", three, map[api.VoterID]enrolled{"d": row}, true},
		{"a daemon that is gone", three, map[api.VoterID]enrolled{"d": gone}, false},
		{"a learner that still catches up", append(three[:3:3], status("d", true)), nil, true},
		{"a learner that is lost", append(three[:3:3], silent), nil, false},
		{"a learner that shuts down too", append(three[:3:3], status("d", true)), map[api.VoterID]enrolled{"d": {leaving: true}}, false},
		{"a successor that votes already", append(three[:3:3], status("d", false)), nil, true},
		{"it was removed", []consensus.MemberStatus{status("a", false), status("c", false), status("d", false)}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := membershipInput{members: c.members, enrolled: c.enrolled, self: "a", wanted: 3, now: now}
			require.Equal(t, c.waits, f.isBeingReplaced("b"))
		})
	}
}
