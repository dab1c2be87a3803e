package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testPool = "scribe/m"

// play drives tables of several entries on one logical clock.
type play struct {
	t       *testing.T
	now     time.Time
	entries []*Table
	servers int
	// outage is set while no other requests are answered.
	outage bool
}

func newPlay(t *testing.T, entries int) *play {
	p := &play{t: t, now: time.Unix(1_700_000_000, 0)}
	for range entries {
		p.entries = append(p.entries, NewTable())
	}
	return p
}

// pass lets time go by; the entries tell each other what they have seen.
func (p *play) pass(d time.Duration) {
	for ; d > reportInterval; d -= reportInterval {
		p.tick(reportInterval)
	}
	p.tick(d)
}

// reportInterval is the time between two reports of an entry.
const reportInterval = 50 * time.Millisecond

func (p *play) tick(d time.Duration) {
	p.now = p.now.Add(d)
	if !p.outage {
		p.answerOthers()
	}
	for i, from := range p.entries {
		from.Settle(p.now)
		report := from.Take(p.now)
		for j, to := range p.entries {
			if i != j {
				to.RecordRemote(report, p.now)
			}
		}
	}
}

func (p *play) newServer() Server {
	p.servers++
	return Server{Target: fmt.Sprint("g", p.servers), Generation: 1}
}

// request sends a request to a new server at an entry unless it is refused.
func (p *play) admitted(entry int, keys ...Key) bool {
	_, refused, wait := p.entries[entry].Match(func() []Key { return keys }, p.now)
	return !refused && wait == 0
}

// crash ends a new server under requests of an entry, some time after they were sent.
func (p *play) crash(entry int, requests ...[]Key) {
	server := p.newServer()
	sent := p.now
	p.pass(held)
	for _, keys := range requests {
		p.entries[entry].Record(testPool, server, keys, sent, p.now)
	}
}

// answerOthers completes a request at each entry that shares nothing with the others.
func (p *play) answerOthers() {
	for _, e := range p.entries {
		e.Answered(testPool, p.newServer(), []Key{"part/unrelated"}, false, p.now)
	}
}

// serve completes a request on a new server.
func (p *play) serve(entry int, keys ...Key) {
	p.entries[entry].Answered(testPool, p.newServer(), keys, false, p.now)
	p.pass(settleTime)
}

const held = 100 * time.Millisecond

func TestOneLifeOfAServerCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewTable()
	for range 3 {
		k.Record(testPool, Server{"a", 1}, []Key{"part/1"}, now, now)
	}
	require.Equal(t, 1, k.Count("part/1", now))
	k.Record(testPool, Server{"a", 2}, []Key{"part/1"}, now.Add(time.Second), now.Add(time.Second))
	require.Equal(t, 2, k.Count("part/1", now.Add(time.Second)), "another life")
	report := k.Take(now.Add(3 * time.Second))
	require.Len(t, report.Crashes, 4)
	require.EqualValues(t, 2000, report.Crashes[3].AgeMillis)
	require.Empty(t, k.Take(now).Crashes)
	require.Zero(t, k.Count("part/1", now.Add(time.Second+Retention)), "crashes expire")
}

func TestCrashesAtSeveralEntriesAddUp(t *testing.T) {
	p := newPlay(t, 34)
	for i := range Limit {
		require.True(t, p.admitted(33, "part/bad"))
		p.crash(i, []Key{"part/bad", ContentKey(uint64(i))})
	}
	p.pass(verdictDelay + reportInterval)
	for i := range p.entries {
		require.False(t, p.admitted(i, "part/base", "part/bad", "content/new"))
		require.True(t, p.admitted(i, "part/base"))
	}
}

// TestSharedPartStaysInUse crashes servers before anything with the shared part completes.
func TestSharedPartStaysInUse(t *testing.T) {
	p := newPlay(t, 2)
	for i := range Limit {
		p.crash(i%2, []Key{"part/base", "part/bad", ContentKey(uint64(i))})
	}
	p.pass(verdictDelay + reportInterval)
	require.False(t, p.admitted(0, "part/base", "part/bad"))
	require.True(t, p.admitted(0, "part/base", "part/sound"))
	p.serve(0, "part/base", "part/sound")
	require.False(t, p.admitted(1, "part/base", "part/bad"), "the shared part alone proves nothing")
}

// TestPartsThatAlwaysCameTogetherAreToldApart admits requests with one of two parts, which
// show the cause.
func TestPartsThatAlwaysCameTogetherAreToldApart(t *testing.T) {
	for _, cause := range []Key{"part/a", "part/b"} {
		p := newPlay(t, 1)
		for i := range Limit {
			p.crash(0, []Key{"part/a", "part/b", ContentKey(uint64(i))})
		}
		p.pass(verdictDelay + reportInterval)
		require.False(t, p.admitted(0, "part/a", "part/b"))
		require.True(t, p.admitted(0, cause, "part/x"))
		p.crash(0, []Key{cause, "part/x"})
		p.pass(verdictDelay + reportInterval)
		require.False(t, p.admitted(0, cause, "part/y"), "one crash more")
		for _, other := range []Key{"part/a", "part/b", "part/x"} {
			require.Equal(t, other != cause, p.admitted(0, other), "%s", other)
		}
	}
}

func TestTwoCausesAtTheSameTime(t *testing.T) {
	p := newPlay(t, 3)
	for i := range 2 * Limit {
		bad := Key(fmt.Sprint("part/bad", i%2))
		p.crash(i%3, []Key{"part/base", bad, ContentKey(uint64(i))}, []Key{"part/base", "part/sound"})
		p.serve(0, "part/base", "part/other")
		p.serve(1, "part/base", "part/sound")
	}
	p.pass(verdictDelay + reportInterval)
	require.False(t, p.admitted(0, "part/base", "part/bad0"))
	require.False(t, p.admitted(1, "part/base", "part/bad1"))
	require.True(t, p.admitted(2, "part/base", "part/sound"))
}

// TestRequestsBesideTheCauseStayInUse has the same sound requests on most servers that
// crash; other entries report them.
func TestRequestsBesideTheCauseStayInUse(t *testing.T) {
	p := newPlay(t, 2)
	for i := range 2 * Limit {
		server, sent := p.newServer(), p.now
		p.pass(held)
		if i > 0 {
			p.entries[1].Record(testPool, server, []Key{"part/base", "part/sound"}, sent, p.now)
		}
		if p.admitted(0, "part/base", "part/bad") {
			p.entries[0].Record(testPool, server, []Key{"part/base", "part/bad"}, sent, p.now)
		}
		p.pass(verdictDelay + reportInterval)
		require.True(t, p.admitted(1, "part/base", "part/sound"), "after %d crashes", i+1)
		if i+1 >= Limit {
			require.False(t, p.admitted(1, "part/base", "part/bad"))
			break
		}
	}
}

// TestServersThatEndTogetherAreOneCrash covers a rack, a failure domain and reset
// connections: many servers end at once under requests with the same part.
func TestServersThatEndTogetherAreOneCrash(t *testing.T) {
	p := newPlay(t, 2)
	sent := p.now
	p.now = p.now.Add(time.Second)
	for i := range 40 {
		at := p.now.Add(time.Duration(i) * 5 * time.Millisecond)
		p.entries[i%2].Record(testPool, p.newServer(), []Key{"part/sound"}, sent, at)
	}
	p.pass(verdictDelay + reportInterval)
	require.True(t, p.admitted(0, "part/sound"))
	require.True(t, p.admitted(1, "part/sound"))
}

// TestServersThatEndOneByOneUnderASoundPart covers a release: each end hits a request with
// the part, and other requests with it complete in between.
func TestServersThatEndOneByOneUnderASoundPart(t *testing.T) {
	p := newPlay(t, 2)
	for range 10 * Limit {
		p.crash(0, []Key{"part/sound"})
		p.serve(1, "part/sound", "part/other")
		require.True(t, p.admitted(0, "part/sound"))
		require.True(t, p.admitted(1, "part/sound"))
	}
}

func TestAnswerBeforeTheCrashProvesNothing(t *testing.T) {
	p := newPlay(t, 1)
	for range Limit {
		server, sent := p.newServer(), p.now
		p.entries[0].Answered(testPool, server, []Key{"part/bad"}, false, p.now)
		p.pass(settleTime / 2)
		p.entries[0].Record(testPool, server, []Key{"part/bad"}, sent, p.now)
		p.pass(settleTime)
	}
	p.pass(verdictDelay)
	require.False(t, p.admitted(0, "part/bad"))
}

func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	p := newPlay(t, 1)
	for range 3 * Limit {
		server, sent := p.newServer(), p.now
		p.pass(held)
		p.entries[0].Record(testPool, server, []Key{"part/sound"}, sent, p.now)
		p.pass(held)
		p.entries[0].Survived(server, p.now)
	}
	require.True(t, p.admitted(0, "part/sound"))
	// A server that is back after a crash is no proof.
	for range Limit {
		server, sent := p.newServer(), p.now
		p.pass(held)
		p.entries[0].Record(testPool, server, []Key{"part/bad"}, sent, p.now)
		p.pass(aliveTime)
		p.entries[0].Survived(server, p.now)
	}
	require.False(t, p.admitted(0, "part/bad"))
}

// TestOutageAccusesNothing fails every request of a pool for a while: servers end one
// after the other, and those that are down close each connection.
func TestOutageAccusesNothing(t *testing.T) {
	p := newPlay(t, 2)
	for i := range 4 {
		p.serve(i%2, "part/base", Key(fmt.Sprint("part/", i)))
		p.serve((i+1)%2, "part/base", Key(fmt.Sprint("part/", i)))
	}
	p.outage = true
	down := make([]Server, 0, 20*Limit)
	for i := range 20 * Limit {
		server, sent := p.newServer(), p.now
		keys := []Key{"part/base", Key(fmt.Sprint("part/", i%4))}
		p.pass(held)
		p.entries[i%2].Record(testPool, server, keys, sent, p.now)
		down = append(down, server)
		for _, d := range down {
			p.entries[i%2].Record(testPool, d, keys, p.now, p.now)
		}
	}
	p.entries[0].Answered("ledger", p.newServer(), []Key{"content/1"}, false, p.now)
	p.pass(verdictDelay + reportInterval)
	for i := range 4 {
		require.True(t, p.admitted(i%2, "part/base", Key(fmt.Sprint("part/", i))))
	}
}

// TestCauseOfAnOutageIsFound crashes every server with one part, so that nothing else is
// answered.
func TestCauseOfAnOutageIsFound(t *testing.T) {
	p := newPlay(t, 2)
	for i := range p.entries {
		for range minAnswers {
			p.serve(i, "part/base", "part/sound")
		}
	}
	p.outage = true
	for i := range Limit + 1 {
		p.crash(i%2, []Key{"part/base", "part/sound"}, []Key{"part/base", "part/bad"})
		if i == 0 {
			p.crash(0, []Key{"part/base", "part/sound"})
		}
	}
	p.pass(verdictDelay + reportInterval)
	for i := range p.entries {
		require.False(t, p.admitted(i, "part/base", "part/bad"))
		require.True(t, p.admitted(i, "part/base", "part/sound"))
	}
}

// TestServerThatIsDownIsNoCrash has requests closed by servers that had crashed before.
func TestServerThatIsDownIsNoCrash(t *testing.T) {
	p := newPlay(t, 1)
	down := make([]Server, 0, Limit)
	for range Limit - 1 {
		server, sent := p.newServer(), p.now
		p.pass(held)
		p.entries[0].Record(testPool, server, []Key{"part/other"}, sent, p.now)
		down = append(down, server)
	}
	p.crash(0, []Key{"part/sound"})
	for range 10 {
		for _, d := range down {
			p.pass(held)
			p.entries[0].Record(testPool, d, []Key{"part/sound"}, p.now.Add(-time.Millisecond), p.now)
		}
	}
	p.pass(verdictDelay + reportInterval)
	require.True(t, p.admitted(0, "part/sound"))
}

// TestRestartedEntryAccusesNothing starts an entry in an outage, of which it sees servers
// that close connections.
func TestRestartedEntryAccusesNothing(t *testing.T) {
	p := newPlay(t, 1)
	p.outage = true
	for range 3 * Limit {
		p.crash(0, []Key{"part/base", "part/sound"}, []Key{"part/base", "part/other"})
	}
	p.pass(verdictDelay + reportInterval)
	require.True(t, p.admitted(0, "part/base", "part/sound"))
}

func TestVerdictEndsWhenRefuted(t *testing.T) {
	p := newPlay(t, 3)
	for range Limit {
		p.crash(0, []Key{"part/sound"})
	}
	p.pass(verdictDelay + reportInterval)
	require.False(t, p.admitted(2, "part/sound"))
	p.serve(1, "part/sound", "part/x")
	p.pass(held)
	for i := range p.entries {
		require.True(t, p.admitted(i, "part/sound"))
	}
}

func TestVerdictHoldsUntilControlHasIt(t *testing.T) {
	p := newPlay(t, 1)
	for range Limit {
		p.crash(0, []Key{"part/bad"})
	}
	p.pass(verdictDelay)
	for range 10 {
		require.Len(t, p.entries[0].Unconfirmed(p.now), 1)
		p.pass(HoldTime / 2)
		require.False(t, p.admitted(0, "part/bad"))
	}
	p.entries[0].Confirm([]Key{"part/bad"})
	require.Empty(t, p.entries[0].Unconfirmed(p.now))
	p.pass(HoldTime)
	require.True(t, p.admitted(0, "part/bad"), "control's quarantine applies now")
}

// TestCallerWithManyPartsEvictsNoCause fills the table with parts that are used once.
func TestCallerWithManyPartsEvictsNoCause(t *testing.T) {
	p := newPlay(t, 1)
	k := p.entries[0]
	for i := range Limit {
		p.crash(0, []Key{"part/bad"})
		for j := range 2 * maxKeys / 32 {
			many := make([]Key, 0, 32)
			for part := range 32 {
				many = append(many, Key(fmt.Sprint("part/", i, j, part)))
			}
			k.Record(testPool, p.newServer(), many, p.now, p.now)
			require.LessOrEqual(t, len(k.keys), maxKeys)
		}
		// The first crash may be evicted; it counts again with the next ones.
		if i == 0 {
			p.crash(0, []Key{"part/bad"})
		}
	}
	p.pass(verdictDelay)
	require.False(t, p.admitted(0, "part/bad"))
}

// traffic is random requests to entries: sound ones, some with a part that crashes its
// server, and servers that end by themselves.
type traffic struct {
	*play
	r       *rand.Rand
	running []*running
	// ended counts the servers that the part crashed, late the requests with it that were
	// sent lateAfter the fifth of them; sound and refused count the sound requests.
	ended, late, sound, refused int
	fifth                       time.Time
}

const (
	// crashesAllowed and lateAllowed bound the servers that a part may crash and the
	// requests with it that reach servers lateAfter the last of these.
	crashesAllowed = 5
	lateAllowed    = 3
	lateAfter      = 3 * time.Second
)

// running is one server with the requests on it.
type running struct {
	server    Server
	entry     int
	sent, end time.Time
	requests  [][]Key
	crashes   bool
}

const answerTime = 400 * time.Millisecond

// arrive sends one request. It joins those on a server that has just begun others.
func (s *traffic) arrive() {
	const parts = 20
	entry := s.r.IntN(len(s.entries))
	keys := []Key{"part/base", Key(fmt.Sprint("part/", s.r.IntN(parts))), ContentKey(s.r.Uint64())}
	bad := s.r.IntN(10) == 0
	if bad {
		keys[1] = "part/bad"
	} else {
		s.sound++
	}
	if !s.admitted(entry, keys...) {
		if !bad {
			s.refused++
		}
		return
	}
	var on *running
	for _, other := range s.running {
		if other.entry == entry && !other.crashes && s.r.IntN(4) == 0 {
			on = other
		}
	}
	if on == nil {
		on = &running{server: s.newServer(), entry: entry, sent: s.now, end: s.now.Add(answerTime)}
		s.running = append(s.running, on)
	}
	on.requests = append(on.requests, keys)
	if bad && s.ended >= crashesAllowed && s.now.Sub(s.fifth) > lateAfter {
		s.late++
	}
	if bad || s.r.IntN(100) == 0 {
		on.crashes, on.end = true, s.now.Add(held)
	}
}

// finish ends the requests whose time has come.
func (s *traffic) finish() {
	kept := s.running[:0]
	for _, on := range s.running {
		if s.now.Before(on.end) {
			kept = append(kept, on)
			continue
		}
		for _, keys := range on.requests {
			if keys[1] == "part/bad" {
				if s.ended++; s.ended == crashesAllowed {
					s.fifth = s.now
				}
			}
			if on.crashes {
				s.entries[on.entry].Record(testPool, on.server, keys, on.sent, s.now)
			} else {
				s.entries[on.entry].Answered(testPool, on.server, keys, false, s.now)
			}
		}
	}
	s.running = kept
}

// TestRandomTraffic checks that few servers end under the part at any number of entries,
// and that sound requests go on.
func TestRandomTraffic(t *testing.T) {
	most := 0
	defer func() { t.Logf("at most %d servers ended under the part", most) }()
	for seed := range uint64(60) {
		entries := []int{1, 4, 34}[seed%3]
		s := &traffic{play: newPlay(t, entries), r: rand.New(rand.NewPCG(seed, 7))}
		for range 15 * int(time.Second/reportInterval) {
			for range 2 {
				s.arrive()
			}
			s.tick(reportInterval)
			s.finish()
		}
		most = max(most, s.ended)
		require.LessOrEqual(t, s.late, lateAllowed, "seed %d, %d servers ended", seed, s.ended)
		require.LessOrEqual(t, s.refused, s.sound/20, "seed %d of %d sound requests", seed, s.sound)
	}
}
