// Package bench is the load and experiment tool: named experiments that drive
// the product's own code against stand-ins and report figures beside targets.
package bench

import (
	"context"
	"time"

	"github.com/crocusway/crocusway/internal/local"
)

// Policy selects what an experiment measures.
type Policy string

// Policies of an experiment.
const (
	PolicyOurs     Policy = "ours"
	PolicyBaseline Policy = "baseline"
	PolicyBoth     Policy = "both"
)

// Preset names a deployment whose sizes and weights an experiment uses.
type Preset string

// Presets of the two deployments.
const (
	PresetNilecraft Preset = "nilecraft"
	PresetTabrak    Preset = "tabrak"
)

// Options are the validated settings of one run.
type Options struct {
	Preset Preset  `json:"preset" validate:"oneof=nilecraft tabrak"`
	Policy Policy  `json:"policy" validate:"oneof=ours baseline both"`
	Seeds  []int64 `json:"seeds" validate:"min=1,max=100"`
	// Duration bounds experiments that run in real time.
	Duration time.Duration `json:"duration" validate:"min=1s,max=10m"`
	// Entries and Hosts select the sizes that role-cost measures; empty selects
	// its defaults.
	Entries []int `json:"entries,omitempty" validate:"dive,oneof=4 16 32 83"`
	Hosts   []int `json:"hosts,omitempty" validate:"dive,oneof=0 600 4000"`
	// Attach names daemons that run elsewhere; nil starts own daemons.
	Attach *local.Attachment `json:"-"`
}

// Experiment is one named measurement.
type Experiment struct {
	Name string
	// Summary is one sentence for the help text.
	Summary string
	// Run measures one policy, "ours" or "baseline", with one seed.
	Run func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error)
	// Attaches marks experiments that can use daemons that run elsewhere.
	Attaches bool
	// Targets are checked on the figures of PolicyOurs.
	Targets []Target
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Target is a stated bound on a figure: a value, or a ratio to the baseline.
type Target struct {
	Figure string `json:"figure"`
	// Relation is "<=" or ">=".
	Relation string  `json:"relation"`
	Bound    float64 `json:"bound"`
	// OfBaseline makes Bound a factor on the baseline's value of the figure.
	OfBaseline bool `json:"of_baseline,omitempty"`
}
