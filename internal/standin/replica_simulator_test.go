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

// runSimulator advances the time in steps of 1 ms and returns the times at which each
// request generated tokens, and all outputs.
func runSimulator(s *ReplicaSimulator, start time.Time, length time.Duration) (times map[string][]time.Duration, outputs []Output) {
	times = make(map[string][]time.Duration)
	for d := time.Duration(0); d <= length; d += time.Millisecond {
		for _, o := range s.Advance(start.Add(d)) {
			outputs = append(outputs, o)
			if o.Tokens > 0 {
				times[o.ID] = append(times[o.ID], d)
			}
		}
	}
	return times, outputs
}

var passStart = time.Unix(1_700_000_000, 0)

func TestRequestIsPrefilledThenDecodedInStrides(t *testing.T) {
	s := NewReplicaSimulator(passProfile(), 1)
	require.True(t, s.Add(Work{ID: "a", Prompt: 1000, Answer: 20}))
	times, outputs := runSimulator(s, passStart, time.Second)
	// Prefill takes 20 ms plus 0.2 ms for the token pairs; each further pass takes 7
	// decode steps of 6.05 ms.
	require.InDelta(t, 20.2, times["a"][0].Seconds()*1000, 2)
	require.InDelta(t, 42.35, (times["a"][1]-times["a"][0]).Seconds()*1000, 2)
	require.Equal(t, []Output{{ID: "a", Tokens: 1}, {ID: "a", Tokens: 7}, {ID: "a", Tokens: 7}, {ID: "a", Tokens: 5, Done: true}}, outputs)
}

func TestLongPromptIsPrefilledInChunks(t *testing.T) {
	s := NewReplicaSimulator(passProfile(), 1)
	require.True(t, s.Add(Work{ID: "writer", Prompt: 10, Answer: 700}))
	runSimulator(s, passStart, 100*time.Millisecond)
	require.True(t, s.Add(Work{ID: "long", Prompt: 6000, Answer: 7}))
	times, _ := runSimulator(s, passStart.Add(101*time.Millisecond), 600*time.Millisecond)
	before := 0
	for _, at := range times["writer"] {
		if at < times["long"][0] {
			before++
		}
	}
	require.GreaterOrEqual(t, before, 3, "another request is decoded between the three prefill chunks")
}

func TestTimeFactorScalesAllTimes(t *testing.T) {
	var first [2]time.Duration
	for i, factor := range []float64{1, 2.5} {
		s := NewReplicaSimulator(passProfile(), factor)
		require.True(t, s.Add(Work{ID: "a", Prompt: 1000, Answer: 7}))
		times, _ := runSimulator(s, passStart, time.Second)
		first[i] = times["a"][0]
	}
	require.InDelta(t, 2.5, first[1].Seconds()/first[0].Seconds(), 0.1)
}

func TestNewestRequestIsPreempted(t *testing.T) {
	profile := passProfile()
	profile.MemoryTokens = 300
	s := NewReplicaSimulator(profile, 1)
	require.False(t, s.Add(Work{ID: "huge", Prompt: 290, Answer: 20}), "larger than the memory")
	for _, id := range []string{"old", "new"} {
		require.True(t, s.Add(Work{ID: id, Prompt: 100, Answer: 100}))
	}
	_, outputs := runSimulator(s, passStart, 10*time.Second)
	preempted, generated := 0, map[string]int{}
	for _, o := range outputs {
		require.LessOrEqual(t, s.UsedTokens(), profile.MemoryTokens)
		if o.Preempted {
			preempted++
			require.Equal(t, "new", o.ID)
		}
		generated[o.ID] += o.Tokens
	}
	require.Positive(t, preempted)
	require.Equal(t, map[string]int{"old": 100, "new": 100}, generated, "each token is generated once")
}

func TestQueueIsBounded(t *testing.T) {
	s := NewReplicaSimulator(passProfile(), 1)
	for range 4 + queueBeyondSlots {
		require.True(t, s.Add(Work{ID: "a", Prompt: 10, Answer: 10}))
	}
	require.False(t, s.Add(Work{ID: "b", Prompt: 10, Answer: 10}))
}

func TestStalledReplicaMakesNoProgress(t *testing.T) {
	s := NewReplicaSimulator(passProfile(), 1)
	require.True(t, s.Add(Work{ID: "a", Prompt: 10, Answer: 1000}))
	times, _ := runSimulator(s, passStart, 200*time.Millisecond)
	require.NotEmpty(t, times["a"])
	s.Stall()
	times, _ = runSimulator(s, passStart.Add(201*time.Millisecond), time.Second)
	require.Empty(t, times["a"])
}
