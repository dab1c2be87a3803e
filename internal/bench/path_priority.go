package bench

import (
	"context"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Accounts of priority-claim.
const (
	quietAccount = "quiet"
	quietClass   = 5
	bulkClass    = 0
	// quietShare is the fraction of the capacity that the quiet account bought.
	quietShare = 0.25
	// quietUse is the fraction of its share that the account then offers.
	quietUse = 0.8
	// bulkLoad is the load of the others, as a factor of the capacity.
	bulkLoad = 2
	// claimAfter is when the quiet account begins, as a fraction of the
	// duration.
	claimAfter = 0.3
)

var bulkAccounts = []string{"bulk-a", "bulk-b", "bulk-c"}

// priorityClaim offers twice the capacity from some accounts while an account
// that was quiet claims the share that it bought.
func priorityClaim() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "priority-claim",
		Summary:  "A quiet account claims its bought share while others offer twice the capacity.",
		Run:      runPriorityClaim,
		Targets: []Target{
			{Figure: "quiet_first_token_p95", Relation: "<=", Bound: firstTokenBound},
			{Figure: "quiet_refused", Relation: "<=", Bound: 0},
		},
	}
}

func runPriorityClaim(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	share := int(quietShare * float64(spec.capacity()))
	spec.accounts = []api.Account{pathAccount(quietAccount, quietClass, share)}
	for _, name := range bulkAccounts {
		spec.accounts = append(spec.accounts, pathAccount(name, bulkClass, share))
	}
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	quiet, bulk := newPathTally(), newPathTally()
	streams := []pathStream{{
		rate:  spec.rate() * quietShare * quietUse,
		start: time.Duration(claimAfter * float64(o.Duration)),
		end:   o.Duration,
		next:  prompts(quietAccount, pathTokens),
		tally: quiet,
	}}
	for _, name := range bulkAccounts {
		streams = append(streams, pathStream{
			rate:  spec.rate() * bulkLoad / float64(len(bulkAccounts)),
			end:   o.Duration,
			next:  prompts(name, pathTokens),
			tally: bulk,
		})
	}
	offerAll(ctx, rig.target, seed, streams...)
	figures := append(quiet.latencyFigures("quiet_"), quiet.endingFigures("quiet_")...)
	figures = append(figures, bulk.latencyFigures("bulk_")...)
	figures = append(figures, bulk.endingFigures("bulk_")...)
	rate := quiet.goodput(o.Duration) + bulk.goodput(o.Duration)
	return append(figures, Figure{Name: "goodput", Unit: "ratio", Value: rate / spec.rate()}), nil
}
