package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/local"
)

// Sizes of the experiment config.
const (
	configChanges = 540
	configDaemons = 4
	configVoters  = 3
	// Changes before which an entry and then the leading voter are aborted and
	// restarted.
	configEntryLostAt  = 100
	configEntryBackAt  = 200
	configLeaderLostAt = 300
	configLeaderBackAt = 400
)

const (
	// startTimeout bounds the start of a system of an experiment.
	startTimeout = 30 * time.Second
	// changeTimeout bounds one change, retries included.
	changeTimeout = 30 * time.Second
	// inForceBoundMillis is the target for the present sizes.
	inForceBoundMillis = 5000
	// leaderBoundMillis is the target for the loss of a leader.
	leaderBoundMillis = 3000
	// maxMillis is the largest time that a histogram records.
	maxMillis = int64(10 * time.Minute / time.Millisecond)
)

var threeDomains = []api.FailureDomain{"domain-1", "domain-2", "domain-3"}

// configChange returns the experiment that applies the planned number of
// changes of a day while an entry and the leading voter are aborted and
// restarted.
func configChange() Experiment {
	return Experiment{
		Name:    "config",
		Summary: "540 changes while an entry and the leader fail and return: time until in force",
		Run:     runConfig,
		Targets: []Target{
			{Figure: "in force, max", Relation: "<=", Bound: inForceBoundMillis},
			{Figure: "leader replaced", Relation: "<=", Bound: leaderBoundMillis},
			{Figure: "accepted changes lost", Relation: "<=", Bound: 0},
			{Figure: "changes accepted", Relation: ">=", Bound: configChanges},
		},
	}
}

// configRun holds the system and the results of one run.
type configRun struct {
	system  *local.System
	times   *hdrhistogram.Histogram
	lost    int
	leader  int
	elected time.Duration
}

func runConfig(ctx context.Context, _ Options, policy Policy, _ int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	system, err := startIdle(ctx, configDaemons, configVoters)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	r := &configRun{system: system, times: hdrhistogram.New(1, maxMillis, 3)}
	accepted := 0
	for i := range configChanges {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := r.injectFaults(ctx, i); err != nil {
			return nil, err
		}
		if err := r.change(ctx, i); err != nil {
			return nil, errors.Wrapf(err, "change %d", i)
		}
		accepted++
		if err := r.check(ctx, i); err != nil {
			return nil, err
		}
	}
	return []Figure{
		{"changes accepted", "changes", float64(accepted)},
		{"in force, p50", "ms", float64(r.times.ValueAtQuantile(50))},
		{"in force, p99", "ms", float64(r.times.ValueAtQuantile(99))},
		{"in force, max", "ms", float64(r.times.Max())},
		{"leader replaced", "ms", float64(r.elected.Milliseconds())},
		{"accepted changes lost", "changes", float64(r.lost)},
	}, nil
}

// startIdle starts a system without backend servers and waits for its entries.
func startIdle(ctx context.Context, daemons, voters int) (*local.System, error) {
	system, err := local.Start(local.Config{Daemons: daemons, Voters: voters, Domains: threeDomains})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err = system.Await(ctx, "live entries", func(s api.StatusResponse) bool {
		return local.LiveEntries(s) == daemons
	})
	if err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

// injectFaults aborts and restarts daemons at fixed changes.
func (r *configRun) injectFaults(ctx context.Context, i int) error {
	switch i {
	case configEntryLostAt:
		r.system.Abort(configDaemons - 1)
	case configEntryBackAt:
		return r.system.Restart(configDaemons - 1)
	case configLeaderLostAt:
		return r.loseLeader(ctx)
	case configLeaderBackAt:
		return r.system.Restart(r.leader)
	}
	return nil
}

func (r *configRun) loseLeader(ctx context.Context) error {
	status, err := r.system.Client.Status()
	if err != nil {
		return err
	}
	r.leader = r.system.Index(string(status.Leader))
	r.system.Abort(r.leader)
	began := time.Now()
	_, err = r.system.Await(ctx, "another leader", func(s api.StatusResponse) bool {
		return s.Leader != status.Leader
	})
	r.elected = time.Since(began)
	return err
}

// change plans and confirms one change, and waits until it is in force. A
// change that is interrupted by an election is retried; its time includes the
// retries.
func (r *configRun) change(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	began := time.Now()
	_, decision, err := r.system.Confirm(ctx, accountIntent(i))
	if err != nil {
		return err
	}
	if !decision.InForce {
		return errors.Newf("not yet in force at entries %v", decision.HeldOut)
	}
	return r.times.RecordValue(max(1, time.Since(began).Milliseconds()))
}

// check counts change i as lost unless the leader's state contains it.
func (r *configRun) check(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := r.system.Await(ctx, "status", func(api.StatusResponse) bool { return true })
	if err != nil {
		return err
	}
	if len(status.View.Accounts) != 1 || status.View.Accounts[0].Share != i {
		r.lost++
	}
	return nil
}

// accountIntent sets the share of one account to n.
func accountIntent(n int) api.Intent {
	hash := sha256.Sum256([]byte("bench-key"))
	return api.Intent{Accounts: []api.Account{{ID: "bench", KeyHashes: []string{hex.EncodeToString(hash[:])}, Share: n}}}
}
