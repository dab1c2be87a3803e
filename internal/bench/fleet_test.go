package bench_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/bench"
)

// TestFleetExperimentIsReproducible: one seed gives the same figures each time.
func TestFleetExperimentIsReproducible(t *testing.T) {
	e := bench.DomainWeights()
	o := bench.Options{Preset: bench.PresetTabrak}
	first, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
	require.NoError(t, err)
	again, err := e.Run(context.Background(), o, bench.PolicyOurs, 1)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// TestBaselineKeepsItsHosts: the baseline moves no host and starts no group
// once every replica was formed.
func TestBaselineKeepsItsHosts(t *testing.T) {
	figures, err := bench.DomainWeights().Run(
		context.Background(), bench.Options{Preset: bench.PresetNilecraft}, bench.PolicyBaseline, 1)
	require.NoError(t, err)
	for _, f := range figures {
		if f.Name == bench.FigureHostsMoved {
			require.Zero(t, f.Value)
		}
	}
}
