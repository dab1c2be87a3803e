package daemon

import (
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/operator"
)

const (
	// headerTimeout bounds the arrival of a request.
	headerTimeout = 30 * time.Second
	// idleTimeout closes a caller's connection that carries no request.
	idleTimeout = 2 * time.Minute
	// writeBuffer is the size of a connection's write buffer, in bytes.
	writeBuffer = 4096
)

// newHTTPServer returns the server of a daemon without the entry role, for
// operators only.
func (d *Daemon) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "crocusway",
		Concurrency:           d.cfg.MaxConnections,
		ReadBufferSize:        d.cfg.MaxHeader,
		WriteBufferSize:       writeBuffer,
		MaxRequestBodySize:    d.cfg.MaxBody,
		ReadTimeout:           headerTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
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

// ready reports why the daemon does not do its work.
func (d *Daemon) ready() error {
	if d.entry != nil && !d.entry.state.MayWork() {
		return errs.New(errs.Unavailable, "check readiness", "", "no work lease")
	}
	if d.control != nil && d.control.log.Status().Leader == "" {
		return errs.New(errs.Unavailable, "check readiness", "", "no control leader")
	}
	return nil
}

// announce takes an announcement and tells the entries that take the next. While
// the entry finds no leader it takes none, so that the host goes to another entry.
func (r *entryRole) announce(ann api.Announcement) (api.AnnounceResponse, error) {
	if err := r.agent.Announce(ann); err != nil {
		return api.AnnounceResponse{}, err
	}
	r.shards.ObserveLoad(ann)
	response := api.AnnounceResponse{NextMillis: r.announceInterval.Milliseconds()}
	response.Entries = alternatives(r.state.Snapshot().Entries, ann.Host)
	return response, nil
}

// maxAlternatives bounds the entries that the answer to an announcement names.
// Every host asks about twice a second, so that a list of all entries would cost
// more than all else.
const maxAlternatives = 8

// alternatives returns the addresses of some entries that take announcements.
// Hosts get different ones, so that those of a lost entry spread over the others.
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
	first := int(seedOf(string(host)) % uint64(len(live)))
	out := make([]string, 0, maxAlternatives)
	for i := range maxAlternatives {
		out = append(out, live[(first+i)%len(live)])
	}
	return out
}
