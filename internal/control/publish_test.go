package control

import (
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

func TestMembershipPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	voter := func(id api.VoterID) consensus.Member { return consensus.Member{ID: id, Incarnation: 1} }
	learner := func(id api.VoterID) consensus.Member { return consensus.Member{ID: id, Incarnation: 1, Learner: true} }
	rejoining := func(id api.VoterID) consensus.Member {
		return consensus.Member{ID: id, Incarnation: 9, Learner: true, Rejoining: true}
	}
	enrolledIn := func(domain string) enrolled {
		return enrolled{address: "a", domain: api.FailureDomain(domain), seen: now}
	}
	silent := enrolled{address: "a", domain: "a", seen: now.Add(-2 * memberTimeout)}
	three := []consensus.Member{voter("a"), voter("b"), voter("c")}
	all := map[api.VoterID]enrolled{"a": enrolledIn("x"), "b": enrolledIn("y"), "c": enrolledIn("z")}
	with := func(id api.VoterID, e enrolled) map[api.VoterID]enrolled {
		out := map[api.VoterID]enrolled{id: e}
		for k, v := range all {
			if _, ok := out[k]; !ok {
				out[k] = v
			}
		}
		return out
	}
	cases := []struct {
		name     string
		members  []consensus.Member
		enrolled map[api.VoterID]enrolled
		since    time.Time
		wanted   int
		kind     consensus.ChangeKind
		id       api.VoterID
	}{
		{"nothing to do", three, all, time.Time{}, 3, "", ""},
		{"a running daemon becomes a learner", three, with("d", enrolledIn("x")), time.Time{}, 3, consensus.ChangeAddLearner, "d"},
		{"a daemon that is silent again", three, with("d", silent), time.Time{}, 3, "", ""},
		{"a learner is not promoted beside three voters", append(three[:3:3], learner("d")), with("d", enrolledIn("x")), time.Time{}, 3, "", ""},
		{"a learner replaces a lost voter", append(three[:3:3], learner("d")), map[api.VoterID]enrolled{
			"a": enrolledIn("x"), "b": silent, "c": enrolledIn("z"), "d": enrolledIn("y"),
		}, time.Time{}, 3, consensus.ChangePromote, "d"},
		{"then the lost voter is removed", []consensus.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[api.VoterID]enrolled{
			"a": enrolledIn("x"), "b": silent, "c": enrolledIn("z"), "d": enrolledIn("y"),
		}, time.Time{}, 3, consensus.ChangeRemove, "b"},
		{"a lost voter without a learner stays", three, with("b", silent), time.Time{}, 3, "", ""},
		{"a voter that has not enrolled at a new leader", three, map[api.VoterID]enrolled{"a": enrolledIn("x"), "c": enrolledIn("z")}, now, 3, "", ""},
		{"a voter that rejoins is not replaced", []consensus.Member{voter("a"), rejoining("b"), voter("c"), learner("d")}, with("d", enrolledIn("x")), time.Time{}, 3, "", ""},
		{"more voters are wanted", append(three[:3:3], learner("d"), learner("e")), map[api.VoterID]enrolled{
			"a": enrolledIn("x"), "b": enrolledIn("y"), "c": enrolledIn("z"), "d": enrolledIn("x"), "e": enrolledIn("w"),
		}, time.Time{}, 5, consensus.ChangePromote, "e"},
		{"the leader is never silent", three, map[api.VoterID]enrolled{"b": enrolledIn("y"), "c": enrolledIn("z")}, time.Time{}, 2, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := membershipInput{members: c.members, enrolled: c.enrolled, since: c.since, self: "a", wanted: c.wanted, now: now}
			change, reason := f.plan()
			require.Equal(t, c.kind, change.Kind, reason)
			require.Equal(t, c.id, change.Member.ID)
		})
	}
}
