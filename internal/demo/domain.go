package demo

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/local"
)

// underLoad runs change while callers stream answers, and adds the results of their
// requests to the report.
func (d *Demo) underLoad(ctx context.Context, change func(context.Context) error) error {
	clients := make([]*caller.Client, callers)
	for i := range clients {
		clients[i] = caller.New(apiKey, d.System.Entries())
	}
	load := caller.StartLoad(callers, func(i, _ int) (caller.Answer, error) {
		return clients[i].Chat(ctx, model, "summarise the order history of tin 42", maxTokens)
	})
	err := change(ctx)
	if err == nil {
		clock.Sleep(ctx, settleTime)
	}
	d.report.Service = d.report.Service.Add(load.Stop())
	return err
}

func (d *Demo) drain(ctx context.Context) (string, error) {
	domain := domains[2]
	err := d.underLoad(ctx, func(ctx context.Context) error {
		if err := d.setDomain(ctx, domain, api.DomainDrained); err != nil {
			return err
		}
		before := d.runsIn(domain)
		clock.Sleep(ctx, settleTime)
		d.report.DrainedWork = d.runsIn(domain) - before
		return nil
	})
	if err != nil {
		return "", err
	}
	if d.report.DrainedWork > 0 {
		return "", errors.Newf("%d requests reached the drained domain", d.report.DrainedWork)
	}
	return d.serviceSummary("drained, no new work there"), nil
}

func (d *Demo) restore(ctx context.Context) (string, error) {
	domain := domains[2]
	err := d.underLoad(ctx, func(ctx context.Context) error {
		if err := d.setDomain(ctx, domain, api.DomainActive); err != nil {
			return err
		}
		_, err := d.System.Await(ctx, "replicas of the restored domain", func(s api.StatusResponse) bool {
			return local.ReadyGroups(s, model) == replicas
		})
		return err
	})
	if err != nil {
		return "", err
	}
	if d.report.Service.Cut > 0 {
		return "", errors.Newf("%d answers were cut", d.report.Service.Cut)
	}
	return d.serviceSummary("all replicas are ready again"), nil
}

func (d *Demo) serviceSummary(what string) string {
	c := d.report.Service
	return fmt.Sprintf("%s; calls so far: %d complete, %d not run, %d unknown, %d cut", what, c.Complete, c.NotRun, c.Unknown, c.Cut)
}

func (d *Demo) setDomain(ctx context.Context, name api.FailureDomain, state api.DomainState) error {
	_, decision, err := d.System.Confirm(ctx, api.Intent{Domains: []api.Domain{{Name: name, State: state}}})
	if err != nil {
		return err
	}
	if !decision.InForce {
		return errors.Newf("the domain change is not yet in force at entries %v", decision.HeldOut)
	}
	return nil
}

// runsIn counts the requests that started on backend servers in a failure domain.
func (d *Demo) runsIn(domain api.FailureDomain) int {
	n := 0
	for _, run := range d.System.Fleet.Runs() {
		if d.System.Fleet.Host(run.Host).Domain() == domain {
			n++
		}
	}
	return n
}
