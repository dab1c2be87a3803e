package bench

import (
	"context"
	"fmt"
	"time"
)

// PauseGrace measures the cost and benefit of waiting for silent members: the
// faults of member-loss with fixed grace periods and with the planner's own.
func PauseGrace() Experiment {
	return Experiment{
		Name:    "pause-grace",
		Summary: "The faults of member-loss, with different waits for members that may only be paused.",
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			var out []Figure
			for _, grace := range []time.Duration{0, 4 * time.Second, 8 * time.Second, time.Minute} {
				figures, err := runGrace(ctx, o, policy, seed, &grace)
				if err != nil {
					return nil, err
				}
				out = append(out, figures...)
			}
			figures, err := runGrace(ctx, o, policy, seed, nil)
			return append(out, figures...), err
		},
	}
}

// runGrace measures a fixed grace period, or the planner's own for nil.
func runGrace(ctx context.Context, o Options, policy Policy, seed int64, grace *time.Duration) ([]Figure, error) {
	p := presetPolicy(o.Preset)
	label := "share of the load time"
	if grace != nil {
		p.Grace, p.MaxGrace, p.GraceShare = *grace, *grace, 0
		label = grace.String()
	}
	r, err := newFleetRun(o, policy, fleetLayout{headroom: 1}, p, seed)
	if err != nil {
		return nil, err
	}
	r.planMemberLosses()
	if err := r.run(ctx, memberSpan); err != nil {
		return nil, err
	}
	return []Figure{
		{Name: fmt.Sprintf("%s, grace %s", FigureDowntime, label), Unit: "replica-seconds", Value: r.meter.downtime},
		{Name: fmt.Sprintf("%s, grace %s", FigureLoads, label), Unit: "host loads", Value: float64(r.meter.loads + r.model.Loads)},
	}, nil
}
