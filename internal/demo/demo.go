// Package demo starts a complete system on loopback, runs typical steps of an
// operator and a caller on it and reports the results.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/standin"
)

// Sizes of the demo system and its load.
const (
	daemons         = 4
	voters          = 3
	replicas        = 6
	hostsPerReplica = 2
	hostsPerFabric  = 5
	maxTokens       = 24
	callers         = 4
)

const (
	model       = "scribe"
	serviceName = "ledger"
	apiKey      = "demo-counter-key"
	depositKey  = "deposit-0001"
	depositBody = `{"order":"tin-42","amount":120}`
	// awaitTimeout is the timeout of each step.
	awaitTimeout = 25 * time.Second
	// settleTime is how long the load continues after a failure domain was drained
	// or restored.
	settleTime = 1500 * time.Millisecond
)

var domains = []api.FailureDomain{"cairo", "alexandria", "tanta"}

// Step is one line of the report.
type Step struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Millis int64  `json:"millis"`
}

// Report holds the results of a demo run.
type Report struct {
	Steps []Step `json:"steps"`
	// Service counts the requests during the drain and the restore, by result.
	Service caller.Tally `json:"service_during_domain_change"`
	// DepositRuns is the number of times that the service ran the deposit, which
	// is sent twice.
	DepositRuns int `json:"deposit_runs"`
	// DrainedWork is the number of requests that ran in the drained domain after
	// the drain was in force.
	DrainedWork int   `json:"work_in_drained_domain"`
	TotalMillis int64 `json:"total_millis"`
}

// Demo is a running demo.
type Demo struct {
	System *local.System
	report Report
	caller *caller.Client
}

// Start starts the system. The caller must Close its System.
func Start(logger log.Logger) (*Demo, error) {
	system, err := local.Start(local.Config{
		Daemons: daemons,
		Voters:  voters,
		Domains: domains,
		Logger:  logger,
		Fleet: standin.Config{
			Fabrics:        len(domains),
			HostsPerFabric: hostsPerFabric,
			Engine:         standin.Engine{ChecksFencing: true, Capabilities: standin.AllCapabilities},
			Services:       []standin.Service{{Name: serviceName, PerDomain: 1}},
		},
	})
	if err != nil {
		return nil, err
	}
	return &Demo{System: system, caller: caller.New(apiKey, system.Entries())}, nil
}

// step is one action of the demo; run returns a summary of its result.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// Run executes the steps in order and stops at the first failure.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	started := time.Now()
	for _, s := range d.steps() {
		stepCtx, cancel := context.WithTimeout(ctx, awaitTimeout)
		stepStarted := time.Now()
		result, err := s.run(stepCtx)
		cancel()
		elapsed := time.Since(stepStarted).Milliseconds()
		if err != nil {
			d.report.Steps = append(d.report.Steps, Step{Name: s.name, Result: "failed: " + err.Error(), Millis: elapsed})
			return d.report, errors.Wrap(err, s.name)
		}
		d.report.Steps = append(d.report.Steps, Step{Name: s.name, Result: result, Millis: elapsed})
	}
	d.report.TotalMillis = time.Since(started).Milliseconds()
	return d.report, nil
}

func (d *Demo) steps() []step {
	return []step{
		{"start", d.awaitEntries},
		{"plan and confirm", d.confirm},
		{"form groups", d.awaitGroups},
		{"streamed answer", d.stream},
		{"deposit, sent twice", d.deposit},
		{"drain " + string(domains[2]), d.drain},
		{"restore " + string(domains[2]), d.restore},
	}
}

func (d *Demo) awaitEntries(ctx context.Context) (string, error) {
	status, err := d.System.Await(ctx, "live entries", func(s api.StatusResponse) bool {
		return local.LiveEntries(s) == daemons && len(s.Hosts) >= len(domains)*hostsPerFabric
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("leader %s, %d entries live, %d backend servers announced", status.Leader, daemons, len(status.Hosts)), nil
}

// intent returns the initial intent of the demo.
func intent() api.Intent {
	hash := sha256.Sum256([]byte(apiKey))
	in := api.Intent{
		ServingGroups: []api.ServingGroup{{
			Name: model, Model: model, Replicas: replicas, HostsPerReplica: hostsPerReplica,
			ChecksFencing: true, LoadBytes: 1 << 20, Importance: 10,
		}},
		Accounts: []api.Account{{ID: "counter-cairo", KeyHashes: []string{hex.EncodeToString(hash[:])}, Class: 5, Share: 8}},
		Services: []api.Service{{Name: serviceName}},
	}
	for _, name := range domains {
		in.Domains = append(in.Domains, api.Domain{Name: name, State: api.DomainActive})
	}
	return in
}

func (d *Demo) confirm(ctx context.Context) (string, error) {
	plan, decision, err := d.System.Confirm(ctx, intent())
	if err != nil {
		return "", err
	}
	if !decision.InForce {
		return "", errors.Newf("plan %d is not yet in force at entries %v", plan.ID, decision.HeldOut)
	}
	return fmt.Sprintf("plan %d with %d effects, in force everywhere", plan.ID, len(plan.Consequences)), nil
}

func (d *Demo) awaitGroups(ctx context.Context) (string, error) {
	_, err := d.System.Await(ctx, "ready groups", func(s api.StatusResponse) bool {
		return local.ReadyGroups(s, model) == replicas
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d replicas of %d hosts are ready", replicas, hostsPerReplica), nil
}

func (d *Demo) stream(ctx context.Context) (string, error) {
	answer, err := d.caller.Chat(ctx, model, "draft an engraving with palm leaves", maxTokens)
	if err != nil {
		return "", err
	}
	if !answer.IsComplete() {
		return "", errors.Newf("incomplete answer: status %d, outcome %q, %d tokens, body %s", answer.Status, answer.Outcome, len(answer.Tokens), answer.Body)
	}
	return fmt.Sprintf("%d tokens, first after %s, outcome %s", len(answer.Tokens), answer.FirstToken.Round(100*time.Microsecond), answer.Outcome), nil
}

func (d *Demo) deposit(ctx context.Context) (string, error) {
	var answers []caller.Answer
	for range 2 {
		answer, err := d.caller.Service(ctx, http.MethodPost, serviceName, "/deposits", depositKey, []byte(depositBody))
		if err != nil {
			return "", err
		}
		if !answer.IsComplete() {
			return "", errors.Newf("deposit failed: status %d, outcome %q, body %s", answer.Status, answer.Outcome, answer.Body)
		}
		answers = append(answers, answer)
	}
	d.report.DepositRuns = d.System.Fleet.RunsOfKey(serviceName, depositKey)
	if d.report.DepositRuns != 1 {
		return "", errors.Newf("the deposit ran %d times, expected once", d.report.DepositRuns)
	}
	if string(answers[0].Body) != string(answers[1].Body) {
		return "", errors.New("the second deposit request returned a different answer")
	}
	return "ran once, the resend got the stored answer", nil
}
