package bench

import (
	"context"
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// ErrTargetMissed is returned when a figure misses its stated target.
var ErrTargetMissed = errors.New("a stated target was missed")

// Sample is one run of one policy with one seed.
type Sample struct {
	Policy  Policy   `json:"policy"`
	Seed    int64    `json:"seed"`
	Figures []Figure `json:"figures"`
}

// Row compares one figure over all seeds.
type Row struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Ours and Baseline summarise the figure over the seeds, without NaN; nil
	// when not run.
	Ours     *Spread `json:"ours,omitempty"`
	Baseline *Spread `json:"baseline,omitempty"`
	// Target is the stated bound on ours, nil when there is none.
	Target *Target `json:"target,omitempty"`
	Missed bool    `json:"missed,omitempty"`
}

// Spread summarises one figure over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Report is the outcome of one experiment.
type Report struct {
	Experiment string   `json:"experiment"`
	Options    Options  `json:"options"`
	Rows       []Row    `json:"rows"`
	Samples    []Sample `json:"samples"`
}

// Missed reports whether any target was missed.
func (r Report) Missed() bool {
	for _, row := range r.Rows {
		if row.Missed {
			return true
		}
	}
	return false
}

// Run carries out an experiment with every seed and policy, and writes one line
// for each run to progress.
func Run(ctx context.Context, e Experiment, o Options, progress io.Writer) (Report, error) {
	if err := validator.New().Struct(o); err != nil {
		return Report{}, errors.Wrap(err, "experiment options")
	}
	if o.Attach != nil && !e.Attaches {
		return Report{}, errors.Newf("experiment %s stops daemons or starts its own: it can't use daemons that run elsewhere", e.Name)
	}
	report := Report{Experiment: e.Name, Options: o}
	for _, policy := range o.policies() {
		for _, seed := range o.Seeds {
			_, _ = fmt.Fprintf(progress, "%s: policy %s, seed %d\n", e.Name, policy, seed)
			figures, err := e.Run(ctx, o, policy, seed)
			if err != nil {
				return report, errors.Wrapf(err, "experiment %s, policy %s, seed %d", e.Name, policy, seed)
			}
			report.Samples = append(report.Samples, Sample{Policy: policy, Seed: seed, Figures: figures})
		}
	}
	report.Rows = rows(report.Samples, e.Targets)
	return report, nil
}

func (o Options) policies() []Policy {
	if o.Policy == PolicyBoth {
		return []Policy{PolicyOurs, PolicyBaseline}
	}
	return []Policy{o.Policy}
}

// rows orders the figures as they first appear and checks the targets.
func rows(samples []Sample, targets []Target) []Row {
	var out []Row
	index := make(map[string]int)
	for _, s := range samples {
		for _, f := range s.Figures {
			if _, found := index[f.Name]; !found {
				index[f.Name] = len(out)
				out = append(out, Row{Name: f.Name, Unit: f.Unit})
			}
		}
	}
	for i := range out {
		out[i].Ours = spread(samples, PolicyOurs, out[i].Name)
		out[i].Baseline = spread(samples, PolicyBaseline, out[i].Name)
		out[i].check(targets)
	}
	return out
}

func spread(samples []Sample, policy Policy, name string) *Spread {
	n := 0
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, sample := range samples {
		for _, f := range sample.Figures {
			if sample.Policy != policy || f.Name != name {
				continue
			}
			n++
			s.Mean += f.Value
			s.Min = math.Min(s.Min, f.Value)
			s.Max = math.Max(s.Max, f.Value)
		}
	}
	if n == 0 {
		return nil
	}
	s.Mean /= float64(n)
	return &s
}

// check compares the worst seed of ours with the target. A target relative to
// the baseline compares means and needs both policies.
func (r *Row) check(targets []Target) {
	for _, t := range targets {
		if t.Figure != r.Name || r.Ours == nil {
			continue
		}
		r.Target = &t
		r.Missed = !t.met(r.Ours, r.Baseline)
	}
}

func (t Target) met(ours, baseline *Spread) bool {
	if t.OfBaseline {
		return baseline == nil || t.holds(ours.Mean, t.Bound*baseline.Mean)
	}
	if t.Relation == "<=" {
		return t.holds(ours.Max, t.Bound)
	}
	return t.holds(ours.Min, t.Bound)
}

func (t Target) holds(value, bound float64) bool {
	if t.Relation == "<=" {
		return value <= bound
	}
	return value >= bound
}
