package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/telemetry"
)

func TestSpentByRole(t *testing.T) {
	start := time.Unix(100, 0)
	read := func(at, links int, cpu float64, leading bool) processCost {
		return processCost{
			at:      start.Add(time.Duration(at) * time.Second),
			links:   int64(links),
			usage:   telemetry.ProcessUsage{CPUSeconds: cpu, MemoryBytes: 2 * bytesPerMegabyte},
			leading: leading,
		}
	}
	before := []processCost{read(0, 0, 1, false), read(0, 0, 1, true), read(1, 100, 0, false), read(1, 100, 0, false)}
	after := []processCost{read(5, 50, 2, false), read(5, 500, 2, true), read(5, 140, 1, false), read(6, 200, 0, false)}
	spent, err := spentByRole(before, after, 2)
	require.NoError(t, err)
	require.Equal(t, map[string]roleMaxCost{
		roleFollower: {links: 10, cpu: 20, memory: 2},
		roleLeader:   {links: 100, cpu: 20, memory: 2},
		roleEntry:    {links: 20, cpu: 25, memory: 2},
	}, spent, "the largest cost of each role")
	after[1].leading = false
	_, err = spentByRole(before, after, 2)
	require.ErrorIs(t, err, errLeaderChanged)
}
