package ingress

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/intake"
)

// An entry that has lost its links to all servers forwards its requests to another entry,
// over HTTP on an address of their own, so that bodies and streams flow as they do to a
// server. The first entry decides about a request: route, account, service, attempts and
// retries. The second one places it as one of its own requests and sends it, and forwards
// it no further. It retries a request only until its answer begins; a stream that breaks off
// later is resumed by the first entry, which so counts every run.

// Headers between two entries.
const (
	// headerForwarded holds an api.ForwardedCall as JSON, headerForwardedMAC its proof.
	headerForwarded    = "Crocusway-Forwarded"
	headerForwardedMAC = "Crocusway-Forwarded-Mac"
	// headerForwardedCode is the code of a refusal by the second entry, headerForwardedRuns
	// the number of servers that may have run the request.
	headerForwardedCode = "Crocusway-Forwarded-Code"
	headerForwardedRuns = "Crocusway-Forwarded-Runs"
	// headerForwardedServer names the server that answered, as INCARNATION/ID.
	headerForwardedServer = "Crocusway-Forwarded-Server"
)

const (
	// maxForwards bounds the entries that one request is forwarded to, one after the other.
	maxForwards = 5
	// avoidDuration is how long an entry gets no forwarded requests after it could not
	// take one.
	avoidDuration = 1500 * time.Millisecond
	// provenDuration is how long an entry that answered a forwarded request is preferred.
	provenDuration = 2 * time.Second
	// unprovenPenalty and otherDomainPenalty are added to the requests in progress at an
	// entry when one is chosen.
	unprovenPenalty    = 2
	otherDomainPenalty = 2
	// leavingPenalty keeps requests off an entry that shuts down while another one has links;
	// like avoidPenalty it is more than any number of requests in progress.
	leavingPenalty = 1e5
	avoidPenalty   = 1e6
	// forwardStallTimeout is the silence of a stream after which another entry resumes it.
	// The second entry notices a stalled server earlier.
	forwardStallTimeout = requestStallTimeout
)

// Codes with which an entry declines a forwarded request that another one may take.
const (
	codeLinksLost     = "links_lost"
	codeNoPublication = "no_publication"
	codeNoService     = "no_service"
	codeLeaving       = "entry_leaving"
	// codeForbidden also comes from a process that was started again on the address: the
	// proof names the former one.
	codeForbidden = "forbidden"
)

// forwardTable holds what an entry knows of the others as receivers of its requests. It is
// safe for concurrent use.
type forwardTable struct {
	mu      sync.Mutex
	entries map[api.EntryID]*receiverState
}

type receiverState struct {
	inFlight int
	provenAt time.Time
	// lostUntil is set for an entry that said that it has lost its links too, avoidUntil for
	// one that failed otherwise: it still gets a request that no other entry can take.
	lostUntil  time.Time
	avoidUntil time.Time
}

func newForwardTable() *forwardTable {
	return &forwardTable{entries: make(map[api.EntryID]*receiverState)}
}

// pick chooses the entry with the fewest forwarded requests of this one, and counts one
// more. It returns nil if there is none that the request has not tried.
func (f *forwardTable) pick(self api.EntryInfo, entries []api.EntryInfo, tried []api.EntryID, now time.Time) *api.EntryInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retain(entries)
	var best *api.EntryInfo
	var bestScore float64
	for i := range entries {
		e := &entries[i]
		if e.ID == self.ID || !e.Live || e.ForwardAddress == "" || slices.Contains(tried, e.ID) {
			continue
		}
		r := f.state(e.ID)
		if now.Before(r.lostUntil) {
			continue
		}
		score := float64(r.inFlight) + rand.Float64()
		if now.Before(r.avoidUntil) {
			score += avoidPenalty
		}
		if e.Leaving {
			score += leavingPenalty
		}
		if now.Sub(r.provenAt) > provenDuration {
			score += unprovenPenalty
		}
		if e.Domain != self.Domain {
			score += otherDomainPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil
	}
	f.state(best.ID).inFlight++
	chosen := *best
	return &chosen
}

// state returns the row of an entry. The lock is held.
func (f *forwardTable) state(id api.EntryID) *receiverState {
	r := f.entries[id]
	if r == nil {
		r = &receiverState{}
		f.entries[id] = r
	}
	return r
}

// retain drops idle rows of entries that are gone. The lock is held.
func (f *forwardTable) retain(entries []api.EntryInfo) {
	if len(f.entries) <= 2*len(entries) {
		return
	}
	for id, r := range f.entries {
		gone := !slices.ContainsFunc(entries, func(e api.EntryInfo) bool { return e.ID == id })
		if gone && r.inFlight == 0 {
			delete(f.entries, id)
		}
	}
}

func (f *forwardTable) done(id api.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).inFlight--
}

// avoid keeps forwarded requests off an entry while another one can take them.
func (f *forwardTable) avoid(id api.EntryID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state(id)
	r.avoidUntil, r.provenAt = until, time.Time{}
}

// markLost keeps forwarded requests off an entry that has lost its links to the servers.
func (f *forwardTable) markLost(id api.EntryID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state(id)
	r.lostUntil, r.provenAt = until, time.Time{}
}

// prove records that an entry has taken a forwarded request.
func (f *forwardTable) prove(id api.EntryID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state(id)
	r.provenAt, r.lostUntil, r.avoidUntil = now, time.Time{}, time.Time{}
}

// acquireEntry chooses the entry that the request is forwarded to.
func (s *Server) acquireEntry(c *call) error {
	if c.forwardedBy != "" {
		return unavailable(codeLinksLost, "this entry has lost its links to the servers", nil)
	}
	entries := s.cfg.State.Snapshot().Entries
	if len(c.entriesTried) < maxForwards {
		c.via = c.links.forwards.pick(s.cfg.Self, entries, c.entriesTried, time.Now())
	}
	if c.via == nil {
		return unavailable(codeLinksLost, "no entry with links to the servers is known",
			errors.Newf("%d entries tried of %d in the view", len(c.entriesTried), len(entries)))
	}
	c.attempts++
	c.entriesTried = append(c.entriesTried, c.via.ID)
	c.targetsTried = append(c.targetsTried, string(c.via.ID))
	level.Debug(s.logger).Log("msg", "Request forwarded", "request", c.head.ID, "entry", c.via.ID, "domain", c.via.Domain, "ran", c.ran,
		"revision", c.revision)
	return nil
}

// inspectForwarded is inspect for the answer of another entry.
func (s *Server) inspectForwarded(c *call) error {
	h := &c.exchange.Header
	var known bool
	c.viaRuns, known = parseRuns(h)
	if code := string(h.Peek(headerForwardedCode)); code != "" {
		if !known {
			return &attemptError{ran: true, cause: errors.Newf("entry %s refused the request (%s) and does not say how often it ran", c.via.ID, code)}
		}
		return s.forwardRefused(c, code)
	}
	c.links.forwards.prove(c.via.ID, time.Now())
	c.answer = s.cfg.Dialect.DecodeAnswer(h)
	if server, incarnation, ok := parseForwardedServer(h); ok {
		s.recordNotices(c, server, incarnation)
	}
	return s.checkAnswer(c)
}

// forwardRefused returns the error for a refusal by the second entry: another entry may take
// the request, or the refusal is the answer.
func (s *Server) forwardRefused(c *call, code string) error {
	h := &c.exchange.Header
	switch code {
	case codeLinksLost:
		c.links.forwards.markLost(c.via.ID, time.Now().Add(avoidDuration))
		fallthrough
	case codeNoPublication, codeNoService, codeLeaving, codeForbidden:
		return &attemptError{ran: c.viaRuns > 0, declined: c.viaRuns == 0, cause: errors.Newf("entry %s declined the request: %s", c.via.ID, code)}
	}
	c.ran += c.viaRuns
	r := &refusal{status: h.StatusCode(), code: code, message: "entry " + string(c.via.ID) + " refused the request"}
	if seconds, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && seconds > 0 {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if c.ran > 0 && r.status == fasthttp.StatusServiceUnavailable {
		r.status = fasthttp.StatusBadGateway
	}
	return r
}

// parseRuns returns the number of runs that a second entry reports, 0 if that is not known.
func parseRuns(h *fasthttp.ResponseHeader) (runs int, known bool) {
	n, err := strconv.ParseUint(string(h.Peek(headerForwardedRuns)), 10, 31)
	if err != nil {
		return 0, false
	}
	return int(n), true
}

// forwardHead returns the request line and header lines of a forwarded request.
func (s *Server) forwardHead(c *call) ([]byte, error) {
	h := &c.http.Request.Header
	h.Del(headerForwarded)
	h.Del(headerForwardedMAC)
	message := api.ForwardedCall{
		From: s.cfg.Self.ID, Route: *c.route, Service: c.service.Name, Account: c.accountID(), Ran: c.ran, Counted: c.counted, Trials: c.trials,
	}
	if c.account != nil {
		message.Urgency = c.account.Urgency
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode forwarded call")
	}
	dst := s.appendHead(make([]byte, 0, headSize+len(encoded)), c, "")
	dst = append(dst, headerForwarded+": "...)
	dst = append(dst, encoded...)
	dst = append(dst, "\r\n"+headerForwardedMAC+": "...)
	dst = append(dst, forwardMAC(s.cfg.ForwardSecret, c.via.ID, h, encoded)...)
	return append(dst, "\r\n"...), nil
}

// forwardMAC proves that an entry of the system forwards this request to the given one. The
// entry's ID changes with each start, so that an old request is of no use to anyone else.
func forwardMAC(secret []byte, to api.EntryID, h *fasthttp.RequestHeader, call []byte) string {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte("crocusway forwarded call"), []byte(to), h.Method(), h.RequestURI(), call} {
		mac.Write(part)
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// afterForwardFailure keeps further requests off an entry that could not take one.
func (s *Server) afterForwardFailure(c *call, failed *attemptError) {
	isUnavailable := failed.unsent || failed.stalled || c.viaRuns == 0
	if isUnavailable && c.ctx.Err() == nil {
		c.links.forwards.avoid(c.via.ID, time.Now().Add(avoidDuration))
	}
	if failed.ran && c.viaRuns == 0 {
		// The entry may have used all attempts before the link broke.
		c.viaRuns = max(1, c.maxAttempts()-c.ran)
	}
}

// HandleForwarded serves a request that another entry forwards.
func (s *Server) HandleForwarded(ctx *fasthttp.RequestCtx) {
	s.serve(&call{http: ctx, received: time.Now()}, []filter{s.decodeForwarded, s.admit, s.setDeadline, s.readBody, s.selectPool})
}

// ForwardedHTTP returns the HTTP server for requests that other entries forward.
func (s *Server) ForwardedHTTP() *intake.Server {
	limits := s.defaultLimits()
	limits.MaxHead += maxForwardedHeader
	return s.newHTTP("forwarded", limits.MaxHead, s.HandleForwarded, func() intake.Limits { return limits })
}

// maxForwardedHeader is the size of the header lines that forwarding adds, in bytes.
const maxForwardedHeader = 16 << 10

// decodeForwarded reads the decisions of the entry that forwards the request.
func (s *Server) decodeForwarded(c *call) error {
	h := &c.http.Request.Header
	encoded, proof := slices.Clone(h.Peek(headerForwarded)), string(h.Peek(headerForwardedMAC))
	h.Del(headerForwarded)
	h.Del(headerForwardedMAC)
	c.head = s.cfg.Dialect.DecodeRequest(h)
	c.forwardedBy = "unknown"
	if !hmac.Equal([]byte(proof), []byte(forwardMAC(s.cfg.ForwardSecret, s.cfg.Self.ID, h, encoded))) {
		level.Warn(s.logger).Log("msg", "Forwarded request without a valid proof rejected", "request", c.head.ID, "peer", c.http.RemoteAddr())
		return &refusal{status: fasthttp.StatusForbidden, code: codeForbidden, message: "the request has no valid proof"}
	}
	var message api.ForwardedCall
	if err := json.Unmarshal(encoded, &message); err != nil {
		return &refusal{status: fasthttp.StatusBadRequest, code: "bad_forwarded_call", message: "the forwarded call can't be read", cause: err}
	}
	c.forwardedBy, c.route, c.ran, c.ranElsewhere = message.From, &message.Route, message.Ran, message.Ran
	c.counted, c.trials = message.Counted, message.Trials
	if message.Account != "" {
		c.account = &api.PublishedAccount{ID: message.Account, Urgency: message.Urgency}
	}
	c.table, c.revision = s.state.current()
	if c.table == nil {
		return unavailable(codeNoPublication, "this entry knows no routes yet", nil)
	}
	c.service = c.table.Service(message.Service)
	if c.service == nil {
		return unavailable(codeNoService, "this entry does not know the service", nil)
	}
	return nil
}

// setForwardedRuns tells the first entry how many servers may have run the request; running
// counts the one whose answer follows. An answer to a caller has no such header.
func setForwardedRuns(c *call, running int) {
	h := &c.http.Response.Header
	h.Del(headerForwardedCode)
	h.Del(headerForwardedRuns)
	h.Del(headerForwardedServer)
	if c.forwardedBy == "" {
		return
	}
	h.Set(headerForwardedRuns, strconv.Itoa(c.ran-c.ranElsewhere+running))
	if c.place != nil {
		h.Set(headerForwardedServer, fmt.Sprintf("%d/%s", c.place.Target.Incarnation, c.place.Target.Instance))
	}
}

// parseForwardedServer returns the server that a second entry names.
func parseForwardedServer(h *fasthttp.ResponseHeader) (api.HostID, api.Incarnation, bool) {
	number, id, found := strings.Cut(string(h.Peek(headerForwardedServer)), "/")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return api.HostID(id), api.Incarnation(incarnation), found && err == nil
}
