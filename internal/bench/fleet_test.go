package bench_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/bench"
)

// TestFleetExperimentIsReproducible checks that a seed gives the same figures
// each time.
func TestFleetExperimentIsReproducible(t *testing.T) {
	e := bench.DomainWeights()
	o := bench.Options{Preset: bench.PresetTabrak}
	first, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
	require.NoError(t, err)
	again, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// TestBaselineMovesNoHost checks that the baseline moves no host and forms no
// group once every replica was formed.
func TestBaselineMovesNoHost(t *testing.T) {
	figures, err := bench.DomainWeights().Run(
		context.Background(), bench.Options{Preset: bench.PresetNilecraft}, bench.PolicyBaseline, 1)
	require.NoError(t, err)
	for _, f := range figures {
		if f.Name == bench.FigureHostsMoved {
			require.Zero(t, f.Value)
		}
	}
}
