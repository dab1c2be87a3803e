package daemon

import (
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/operator"
)

const (
	// readTimeout bounds the time to read a request with its body.
	readTimeout = 30 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 2 * time.Minute
)

// newHTTPServer returns the server of a daemon without the entry role, for
// operators only.
func (d *Daemon) newHTTPServer(handler fasthttp.RequestHandler) *intake.Server {
	return intake.NewServer(intake.Config{
		Name:       "operators",
		Handler:    intake.WithBody(intake.AtMost(d.cfg.MaxBody), readTimeout, intake.RefusePlain, handler),
		Account:    d.account,
		Refusals:   d.refusals,
		Logger:     d.logger,
		MaxHead:    d.cfg.MaxHeader,
		MaxConns:   d.cfg.MaxConnections,
		ServerName: "crocusway",
		Limits: func() intake.Limits {
			return intake.Limits{MaxHead: d.cfg.MaxHeader, HeadTimeout: readTimeout, BodyTimeout: readTimeout, IdleTimeout: idleTimeout}
		},
	})
}

func (d *Daemon) mountOperator(routes *router.Router) {
	cfg := operator.Config{
		Control:            d.leader,
		OperatorToken:      d.cfg.OperatorToken,
		BackendToken:       d.cfg.BackendToken,
		Logger:             logging.For(d.base, "operator"),
		DecodeAnnouncement: backend.DecodeAnnouncement,
		Dump:               func() any { return d.Dump() },
		Ready:              d.ready,
		Metrics:            d.telemetry.Handler(),
	}
	if d.entry != nil {
		cfg.Announce = d.entry.announce
	}
	operator.New(cfg).Mount(routes)
}

// ready returns the reason why the daemon is not ready, or nil.
func (d *Daemon) ready() error {
	if d.entry != nil && !d.entry.state.MayWork() {
		return errs.New(errs.Unavailable, "check readiness", "", "no work lease")
	}
	if d.control != nil && d.control.log.Status().Leader == "" {
		return errs.New(errs.Unavailable, "check readiness", "", "no control leader")
	}
	return nil
}

// announce accepts an announcement and returns entries for the next one. It fails
// while the entry can't reach the leader, so that the host tries another entry.
func (r *entryRole) announce(ann api.Announcement) (api.AnnounceResponse, error) {
	if err := r.agent.Announce(ann); err != nil {
		return api.AnnounceResponse{}, err
	}
	r.shards.ObserveLoad(ann)
	response := api.AnnounceResponse{NextMillis: r.announceInterval.Milliseconds()}
	response.Entries = alternatives(r.state.Snapshot().Entries, ann.Host)
	return response, nil
}

// maxAlternatives bounds the entries in the response to an announcement. Every host
// announces itself about twice a second, so a list of all entries would outweigh all
// other traffic.
const maxAlternatives = 8

// alternatives returns the addresses of some entries that accept announcements.
// Hosts get different entries, so that the hosts of a lost entry spread over the rest.
func alternatives(entries []api.EntryInfo, host api.HostID) []string {
	var live []string
	for _, e := range entries {
		if e.Live && !e.Leaving {
			live = append(live, e.CallerAddress)
		}
	}
	if len(live) <= maxAlternatives {
		return live
	}
	first := int(nameHash(string(host)) % uint64(len(live)))
	out := make([]string, 0, maxAlternatives)
	for i := range maxAlternatives {
		out = append(out, live[(first+i)%len(live)])
	}
	return out
}
