package placement

import (
	"testing"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// fakeTime is a clock that moves only by advance.
type fakeTime struct{ now time.Time }

func newFakeTime() *fakeTime { return &fakeTime{now: time.Unix(1_000_000, 0)} }

func (f *fakeTime) Now() time.Time { return f.now }

func (f *fakeTime) advance(d time.Duration) { f.now = f.now.Add(d) }

// profile is that of an engine with a step of 6 ms and a prefill of 50 tokens a ms.
func profile() *api.EngineProfile {
	return &api.EngineProfile{
		Slots: 4, Stride: 7, StepMillis: 6, SequenceMillis: 0.05, ContextMillis: 0.008, PrefillRate: 50_000, Chunk: 2048,
	}
}

func replica(id string) Target {
	return Target{ID: id, Generation: 1, Instance: api.HostID("head-" + id), Domain: "a", Slots: 4, Pace: 1}
}

// enginePool returns a pool of replicas on a fake clock.
func enginePool(ids ...string) (*Pool, *fakeTime) {
	clock := newFakeTime()
	p := NewPool("scribe/m", "a", clock.Now, NewNotices())
	targets := make([]Target, 0, len(ids))
	for _, id := range ids {
		targets = append(targets, replica(id))
	}
	p.Update(targets, profile(), Entries{})
	return p, clock
}

func (f *fakeTime) demand(prompt int) Demand {
	return Demand{
		Prompt: prompt, Answer: 50, Deadline: f.now.Add(8 * time.Second),
		FirstBy: f.now.Add(2 * time.Second), Objective: f.now.Add(300 * time.Millisecond),
	}
}

// linked are links that work.
type linked struct{}

func (linked) LinksShownSince(time.Time, bool) bool { return true }
