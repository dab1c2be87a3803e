package bench_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/bench"
)

func TestFleetExperimentsAreReproducible(t *testing.T) {
	for _, e := range []bench.Experiment{bench.MemberLoss(), bench.FabricLoss()} {
		t.Run(e.Name, func(t *testing.T) {
			o := bench.Options{Preset: bench.PresetNilecraft}
			first, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
			require.NoError(t, err)
			again, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
			require.NoError(t, err)
			require.Equal(t, first, again)
		})
	}
}
