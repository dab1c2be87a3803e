package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

const (
	// baselineToken is the token of the baseline's backend servers.
	baselineToken = "baseline backend token"
	// baselineAttempts is the maximum number of sends of one request.
	baselineAttempts = 3
	// baselineRepairInterval is the time between two checks of the replicas.
	baselineRepairInterval = 100 * time.Millisecond
	// baselineTimeout bounds one attempt of a caller without a deadline.
	baselineTimeout = 10 * time.Second
)

// baseline is the policy to compare with: round robin over all replicas, no
// shared limits, unconditional retries, first come first served. Replicas keep
// their hosts; a replica that lost its membership is formed again at the next
// check.
type baseline struct {
	fleet      *standin.Fleet
	model      string
	replicas   [][]*standin.Host
	clients    []*caller.Client
	nextClient atomic.Int64
	fencing    atomic.Int64
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// startBaseline starts the fleet and forms every replica.
func startBaseline(spec pathSpec) (*baseline, error) {
	cfg := spec.fleet()
	cfg.Token = baselineToken
	cfg.Domains = pathDomains
	fleet, err := standin.Start(cfg)
	if err != nil {
		return nil, err
	}
	b := &baseline{fleet: fleet, model: pathModel, replicas: spec.placement(fleet)}
	for _, hosts := range b.replicas {
		b.clients = append(b.clients, caller.Pinned(baselineToken, hosts[0].Address()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.repair()
	b.done.Go(func() {
		for sleepUntil(ctx, time.Now().Add(baselineRepairInterval)) {
			b.repair()
		}
	})
	return b, nil
}

func (b *baseline) close() {
	b.stop()
	b.done.Wait()
	b.fleet.Close()
}

// repair forms the replicas whose hosts are up but do not share a membership.
func (b *baseline) repair() {
	for i, hosts := range b.replicas {
		if !allUp(hosts) || sameMembership(hosts) {
			continue
		}
		b.fleet.FormReplica(api.GroupID(fmt.Sprintf("replica-%d", i)), api.Fencing(b.fencing.Add(1)), b.model, hosts...)
	}
}

func allUp(hosts []*standin.Host) bool {
	for _, h := range hosts {
		if !h.Up() {
			return false
		}
	}
	return true
}

func sameMembership(hosts []*standin.Host) bool {
	group, fencing := hosts[0].Membership()
	for _, h := range hosts[1:] {
		g, f := h.Membership()
		if g != group || f != fencing {
			return false
		}
	}
	return group != ""
}

// call implements pathTarget.
func (b *baseline) call(ctx context.Context, c pathCall) pathResult {
	began := time.Now()
	var r pathResult
	for range baselineAttempts {
		client := b.clients[int(b.nextClient.Add(1))%len(b.clients)]
		sent := time.Since(began)
		answer, err := b.send(ctx, client, c)
		r = pathResult{
			ending: classifyAnswer(answer, err, c.tokens, answer.Terminated),
			status: answer.Status,
			gaps:   answer.Gaps,
		}
		if answer.FirstToken > 0 {
			r.firstToken = sent + answer.FirstToken
		}
		if r.ending == endComplete || r.ending == endWrong {
			return r
		}
	}
	return r
}

func (b *baseline) send(ctx context.Context, client *caller.Client, c pathCall) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(baselineTimeout))
	defer cancel()
	return client.Chat(ctx, b.model, c.prompt, c.tokens)
}
