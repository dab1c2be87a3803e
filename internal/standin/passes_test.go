package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func passProfile() *api.EngineProfile {
	return &api.EngineProfile{
		Slots: 4, Stride: 7, StepMillis: 6, SequenceMillis: 0.05, PrefillRate: 50_000, PairMillis: 0.4, Chunk: 2048,
	}
}

// runPasses lets time pass in small steps and returns, for each request, when its
// tokens came.
func runPasses(p *Passes, start time.Time, length time.Duration) (times map[string][]time.Duration, outputs []Output) {
	times = make(map[string][]time.Duration)
	for d := time.Duration(0); d <= length; d += time.Millisecond {
		for _, o := range p.Advance(start.Add(d)) {
			outputs = append(outputs, o)
			if o.Tokens > 0 {
				times[o.ID] = append(times[o.ID], d)
			}
		}
	}
	return times, outputs
}

var passStart = time.Unix(1_700_000_000, 0)

func TestOneRequestReadsThenWritesInStrides(t *testing.T) {
	p := NewPasses(passProfile(), 1)
	require.True(t, p.Add(Work{ID: "a", Prompt: 1000, Answer: 20}))
	times, outputs := runPasses(p, passStart, time.Second)
	// 20 ms of reading and 0.2 ms of pairs, then 7 steps of 6.05 ms a pass.
	require.InDelta(t, 20.2, times["a"][0].Seconds()*1000, 2)
	require.InDelta(t, 42.35, (times["a"][1]-times["a"][0]).Seconds()*1000, 2)
	require.Equal(t, []Output{{ID: "a", Tokens: 1}, {ID: "a", Tokens: 7}, {ID: "a", Tokens: 7}, {ID: "a", Tokens: 5, Done: true}}, outputs)
}

func TestLongPromptIsReadInPieces(t *testing.T) {
	p := NewPasses(passProfile(), 1)
	require.True(t, p.Add(Work{ID: "writer", Prompt: 10, Answer: 700}))
	runPasses(p, passStart, 100*time.Millisecond)
	require.True(t, p.Add(Work{ID: "long", Prompt: 6000, Answer: 7}))
	times, _ := runPasses(p, passStart.Add(101*time.Millisecond), 600*time.Millisecond)
	before := 0
	for _, at := range times["writer"] {
		if at < times["long"][0] {
			before++
		}
	}
	require.GreaterOrEqual(t, before, 3, "the writer goes on between three pieces")
}

func TestPaceSlowsEverything(t *testing.T) {
	var first [2]time.Duration
	for i, pace := range []float64{1, 2.5} {
		p := NewPasses(passProfile(), pace)
		require.True(t, p.Add(Work{ID: "a", Prompt: 1000, Answer: 7}))
		times, _ := runPasses(p, passStart, time.Second)
		first[i] = times["a"][0]
	}
	require.InDelta(t, 2.5, first[1].Seconds()/first[0].Seconds(), 0.1)
}

func TestNewestRequestYieldsMemory(t *testing.T) {
	profile := passProfile()
	profile.MemoryTokens = 300
	p := NewPasses(profile, 1)
	require.False(t, p.Add(Work{ID: "huge", Prompt: 290, Answer: 20}), "as if it were full")
	for _, id := range []string{"old", "new"} {
		require.True(t, p.Add(Work{ID: id, Prompt: 100, Answer: 100}))
	}
	_, outputs := runPasses(p, passStart, 10*time.Second)
	preempted, written := 0, map[string]int{}
	for _, o := range outputs {
		require.LessOrEqual(t, p.Held(), profile.MemoryTokens)
		if o.Preempted {
			preempted++
			require.Equal(t, "new", o.ID)
		}
		written[o.ID] += o.Tokens
	}
	require.Positive(t, preempted)
	require.Equal(t, map[string]int{"old": 100, "new": 100}, written, "each token once")
}

func TestQueueIsBounded(t *testing.T) {
	p := NewPasses(passProfile(), 1)
	for range 4 + queueBeyondSlots {
		require.True(t, p.Add(Work{ID: "a", Prompt: 10, Answer: 10}))
	}
	require.False(t, p.Add(Work{ID: "b", Prompt: 10, Answer: 10}))
}

func TestStalledReplicaStandsStill(t *testing.T) {
	p := NewPasses(passProfile(), 1)
	require.True(t, p.Add(Work{ID: "a", Prompt: 10, Answer: 1000}))
	times, _ := runPasses(p, passStart, 200*time.Millisecond)
	require.NotEmpty(t, times["a"])
	p.Stall()
	times, _ = runPasses(p, passStart.Add(201*time.Millisecond), time.Second)
	require.Empty(t, times["a"])
}
