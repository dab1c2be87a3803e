package bench

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/local"
)

func fixed(ours, baseline float64, targets ...Target) Experiment {
	return Experiment{
		Name:    "fixed",
		Targets: targets,
		Run: func(_ context.Context, _ Options, p Policy, seed int64) ([]Figure, error) {
			value := baseline
			if p == PolicyOurs {
				value = ours + float64(seed)
			}
			return []Figure{{Name: "downtime", Unit: "s", Value: value}}, nil
		},
	}
}

func TestTargets(t *testing.T) {
	cases := []struct {
		name   string
		ours   float64
		target Target
		missed bool
	}{
		{"worst seed at the bound", 7, Target{"downtime", "<=", 10, false}, false},
		{"worst seed over the bound", 7.1, Target{"downtime", "<=", 10, false}, true},
		{"worst seed under a floor", 7, Target{"downtime", ">=", 8.5, false}, true},
		{"mean at half of the baseline", 48, Target{"downtime", "<=", 0.5, true}, false},
		{"mean over half of the baseline", 49, Target{"downtime", "<=", 0.5, true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := Options{Preset: PresetTabrak, Policy: PolicyBoth, Seeds: []int64{1, 2, 3}, Duration: time.Second}
			report, err := Run(context.Background(), fixed(c.ours, 100, c.target), o, io.Discard)
			require.NoError(t, err)
			require.Equal(t, c.missed, report.Missed())
			require.NoError(t, Print(io.Discard, report))
		})
	}
}

func TestOptionsAreChecked(t *testing.T) {
	o := Options{Preset: "moon", Policy: PolicyOurs, Seeds: []int64{1}, Duration: time.Second}
	_, err := Run(context.Background(), fixed(1, 1), o, io.Discard)
	require.ErrorContains(t, err, "Preset")
}

func TestOnlySomeExperimentsAttach(t *testing.T) {
	for _, e := range Experiments() {
		if e.Attaches {
			continue
		}
		o := Options{Preset: PresetNilecraft, Policy: PolicyOurs, Seeds: []int64{1}, Duration: time.Second, Attach: &local.Attachment{}}
		_, err := Run(t.Context(), e, o, io.Discard)
		require.ErrorContains(t, err, "can't use daemons that run elsewhere", e.Name)
	}
}
