package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

func TestProcessUsage(t *testing.T) {
	u, err := parseStat("17 (a ) b) S 1 17 17 0 -1 4194560 9 0 0 0 250 50 0 0 20 0 9 0 1 2 3")
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, u.cpu)
	require.NoError(t, u.parseIO("rchar: 10\nwchar: 20\nsyscr: 3\nsyscw: 4\nread_bytes: 0\n"))
	require.Equal(t, usage{cpu: 2 * time.Second, read: 9, written: 18, reads: 2, writes: 1},
		u.since(usage{cpu: time.Second, read: 1, written: 2, reads: 1, writes: 3}))
	_, err = parseStat("17 (a) S 1")
	require.Error(t, err)
	require.Error(t, u.parseIO("rchar: many"))
}

// TestRelayCountsTheWindow has one token before the window, two in it and one
// after it.
func TestRelayCountsTheWindow(t *testing.T) {
	began := time.Now()
	tally := newRelayTally(began.Add(2*time.Second), began.Add(time.Hour))
	answer := caller.Answer{Request: "r1", FirstToken: time.Second, Gaps: []time.Duration{time.Second, time.Second, time.Hour}}
	for i := range 4 {
		answer.Tokens = append(answer.Tokens, standin.TokenText("r1", i+1))
	}
	tally.add(began, answer, true)
	require.Equal(t, 2, tally.tokens)
	require.Zero(t, tally.wrong+tally.failed)
	answer.Tokens = answer.Tokens[1:]
	tally.add(began, answer, false)
	require.Equal(t, 1, tally.wrong)
	require.Equal(t, 1, tally.failed)
}
