package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/clock"
)

// Part is a part of the mode with long answers that can be switched on alone.
type Part string

// Parts of the mode with long answers.
const (
	// PartLong has answers of several seconds, some of them large.
	PartLong Part = "long"
	// PartChunks has request bodies in chunks, which may arrive slowly.
	PartChunks Part = "chunks"
	// PartSilences has sound servers that fall silent in the middle of a stream.
	PartSilences Part = "silences"
	// PartLinks has slow links between callers and entries.
	PartLinks Part = "links"
	// PartVersions has series of configurations.
	PartVersions Part = "versions"
	// PartTerms has SIGTERMs and SIGHUPs of entries.
	PartTerms Part = "terms"
	// PartControl has SIGTERMs of control daemons, and a leader out of reach.
	PartControl Part = "control"
	// PartPauses has entries that are stopped for some 100 ms.
	PartPauses Part = "pauses"
)

// Parts returns all parts of the mode with long answers.
func Parts() []Part {
	return []Part{PartLong, PartChunks, PartSilences, PartLinks, PartVersions, PartTerms, PartControl, PartPauses}
}

// plays reports whether a part is switched on.
func (s *system) plays(p Part) bool {
	return s.mode == modeStreams && (len(s.cfg.Parts) == 0 || slices.Contains(s.cfg.Parts, p))
}

func streamLanes() []laneKind {
	return []laneKind{
		{name: "versions", lanes: 1, actions: []action{actionStorm}, gap: 4 * time.Second, part: PartVersions},
		{name: "entries", role: roleEntry, lanes: 3, actions: []action{actionTerm, actionTerm, actionTerm, actionHup}, gap: 600 * time.Millisecond, part: PartTerms},
		{name: "control", role: roleControl, lanes: 1, actions: []action{actionTerm}, gap: 2 * time.Second, part: PartControl},
		{name: "leader", lanes: 1, actions: []action{actionLeader}, gap: 6 * time.Second, part: PartControl},
		{name: "pauses", role: roleEntry, lanes: 1, actions: []action{actionHalt}, gap: 2 * time.Second, part: PartPauses},
	}
}

const (
	usualRetrySlack = 130
	// streamRetrySlack is lower, so that the retry budget of fewer and longer requests runs out too.
	streamRetrySlack = 20
	// longDeadline is the deadline of every request in this mode.
	longDeadline = 9 * time.Second
	// stormFactor makes a series of configurations last longer than other actions.
	stormFactor     = 2
	minStormPause   = 300 * time.Millisecond
	maxStormPause   = 2 * time.Second
	stormRoutes     = 20
	spareSuffix     = "-spare"
	haltDivisor     = 6
	minSilence      = 300 * time.Millisecond
	maxSilence      = 2 * time.Second
	silentEvents    = 60 // One event in so many comes after a silence.
	maxStream       = 6500 * time.Millisecond
	minStream       = 500 * time.Millisecond
	maxAnswerWait   = 3 * time.Second
	maxEventBytes   = 4000
	maxCallBytes    = 200_000
	maxBodyBytes    = 20_000
	maxChunks       = 12
	maxChunkPause   = 150 * time.Millisecond
	minCallerDelay  = 500 * time.Microsecond
	maxCallerDelay  = 20 * time.Millisecond
	hostCallers     = 240
	callerHosts     = 14
	slowReaderHosts = 3
	slowReaderPart  = 1500 // Bytes.
)

// haltTime is a length of some 100 ms, from that of an event.
func haltTime(length time.Duration) time.Duration { return length / haltDivisor }

// variant is what differs between configurations.
type variant struct {
	timeouts map[kind]time.Duration
	// spare is the percentage of the requests that go to the spare servers. Without any, the
	// configuration does not name their services.
	spare int
}

func usualVariant() variant {
	return variant{timeouts: map[kind]time.Duration{kindStream: 8 * time.Second, kindOnce: 8 * time.Second, kindSafe: 8 * time.Second}}
}

func randomVariant(r *rand.Rand) variant {
	pick := func(of ...time.Duration) time.Duration { return of[r.IntN(len(of))] }
	return variant{
		timeouts: map[kind]time.Duration{
			kindStream: pick(3*time.Second, 5*time.Second, 8*time.Second, 12*time.Second),
			kindOnce:   pick(1500*time.Millisecond, 4*time.Second, 8*time.Second),
			kindSafe:   pick(1500*time.Millisecond, 4*time.Second, 8*time.Second),
		},
		spare: []int{0, 0, 30, 70, 100}[r.IntN(5)],
	}
}

// target returns the members of a route that name its services.
func (v variant) target(service string) string {
	switch v.spare {
	case 0:
		return fmt.Sprintf(`"service":%q`, service)
	case 100:
		return fmt.Sprintf(`"service":%q`, service+spareSuffix)
	}
	return fmt.Sprintf(`"trafficSplit":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`, service, 100-v.spare, service+spareSuffix, v.spare)
}

// storm publishes several configurations one after the other.
func (p *operator) storm(ctx context.Context, e event) {
	r := rand.New(rand.NewPCG(e.Seed, 1))
	for until := time.Now().Add(stormFactor * e.Length); time.Now().Before(until) && ctx.Err() == nil; {
		version, text := p.documentWith(r, r.IntN(stormRoutes), randomVariant(r))
		p.publish(ctx, r, version, text, time.Now().Add(recovery))
		clock.Sleep(ctx, minStormPause+time.Duration(r.Int64N(int64(maxStormPause-minStormPause))))
	}
}

// isolateLeader cuts the control leader off from the entries, or from all daemons.
func (s *system) isolateLeader(ctx context.Context, e event) {
	leader := s.leader()
	if leader == nil {
		return
	}
	var directions []direction
	for _, d := range s.directionsOf(leader) {
		toEntry := slices.ContainsFunc(s.entries(), func(e *daemon) bool { return e.ip == d.from || e.ip == d.to })
		if toEntry || e.Seed%2 == 0 {
			directions = append(directions, d)
		}
	}
	end := s.oracle.disrupted(workUnreachable, time.Now())
	for _, d := range directions {
		s.network.set(d, rule{silent: true})
	}
	clock.Sleep(ctx, e.Length)
	for _, d := range directions {
		s.network.set(d, rule{})
	}
	end(time.Now())
}

var leadingLine = regexp.MustCompile(`msg=Leading term=(\d+)`)

// leader returns the control daemon that led last, nil before the first leader. Logs are
// written up to a second late.
func (s *system) leader() *daemon {
	var leader *daemon
	newest := 0
	for _, d := range s.daemons {
		raw, err := os.ReadFile(filepath.Join(d.dir, "log"))
		if err != nil {
			return nil
		}
		for _, match := range leadingLine.FindAllSubmatch(raw, -1) {
			if term, _ := strconv.Atoi(string(match[1])); term > newest {
				newest, leader = term, d
			}
		}
	}
	return leader
}

// shape is the form of an answer. It follows from the path of the request.
type shape struct {
	// events and pause are the number of events of a stream and the time between them, bytes
	// the padding of an event or of another answer.
	events int
	pause  time.Duration
	bytes  int
	// wait is the time until an answer that is no stream.
	wait time.Duration
}

const shapeFormat = "shape-%d-%d-%d-%d/"

func (s shape) segment() string {
	return fmt.Sprintf(shapeFormat, s.events, s.pause.Milliseconds(), s.bytes, s.wait.Milliseconds())
}

func shapeOf(path string) shape {
	s := shape{events: streamEvents, pause: eventPause}
	if _, segment, found := strings.Cut(path, "/shape-"); found {
		var pause, wait int64
		if _, err := fmt.Sscanf("shape-"+segment, shapeFormat, &s.events, &pause, &s.bytes, &wait); err == nil {
			s.pause, s.wait = time.Duration(pause)*time.Millisecond, time.Duration(wait)*time.Millisecond
		}
	}
	return s
}

// shape returns the segment of the path that selects the form of an answer.
func (c *caller) shape(k kind) string {
	if !c.system.plays(PartLong) {
		return ""
	}
	s := shape{events: streamEvents}
	if k == kindStream {
		s.pause = time.Duration(40+c.rand.IntN(40)) * time.Millisecond
		s.events = int((minStream + time.Duration(c.rand.Int64N(int64(maxStream-minStream)))) / s.pause)
		s.bytes = c.rand.IntN(2) * c.rand.IntN(maxEventBytes)
		return s.segment()
	}
	s.wait = time.Duration(int64(c.rand.IntN(2)) * c.rand.Int64N(int64(maxAnswerWait)))
	s.bytes = c.rand.IntN(2) * c.rand.IntN(maxCallBytes)
	return s.segment()
}

// fallSilent stands still before some events of streams, as a sound server may.
func (s *server) fallSilent(id string, index int) {
	if !s.silences {
		return
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s %d", s.id, id, index)
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	if r.IntN(silentEvents) == 0 {
		s.oracle.silent(id)
		time.Sleep(minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence))))
	}
}

// slowBody is a request body that comes in chunks with pauses.
type slowBody struct {
	ctx   context.Context
	rest  string
	chunk int
	pause time.Duration
	// sent is called once the body is complete.
	sent func()
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		b.sent()
		return 0, io.EOF
	}
	clock.Sleep(b.ctx, b.pause)
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(p, b.rest[:min(b.chunk, len(b.rest))])
	b.rest = b.rest[n:]
	return n, nil
}

// sendInChunks gives half of the requests with a body one that comes in chunks.
func (c *caller) sendInChunks(ctx context.Context, out *http.Request, id string, r *request) {
	if r.body == "" || !c.system.plays(PartChunks) || c.rand.IntN(2) == 0 {
		return
	}
	r.chunked = true
	r.body += strings.Repeat(" ", c.rand.IntN(maxBodyBytes))
	pause := time.Duration(int64(c.rand.IntN(2)) * c.rand.Int64N(int64(maxChunkPause)))
	out.ContentLength = -1
	out.Body = io.NopCloser(&slowBody{
		ctx: ctx, rest: r.body, chunk: len(r.body)/(1+c.rand.IntN(maxChunks)) + 1, pause: pause,
		sent: func() { c.system.oracle.bodySent(id, time.Now()) },
	})
}

// ended records how a request of a caller ended.
func (c *caller) ended(id, address string, response *http.Response, err error) {
	if c.system.mode != modeStreams {
		return
	}
	e := ending{id: id, at: time.Now(), reused: !c.conns.dialed, answered: response != nil, err: err}
	for _, d := range c.system.entries() {
		if d.address(portFront) == address {
			e.entry = d.name
		}
	}
	c.system.oracle.ended(e)
}

// slowCallers puts the network between callers and entries, with a delay for each host of
// callers. Some hosts read slowly too.
func (s *system) slowCallers() error {
	if !s.plays(PartLinks) {
		return nil
	}
	r := rand.New(rand.NewPCG(s.cfg.Seed, 8))
	for _, d := range s.entries() {
		if err := s.network.forwardLinks(d.address(portCaller), d.address(portFront), (*proxiedLink).closeSending); err != nil {
			return err
		}
		for i := range callerHosts {
			to := rule{delay: minCallerDelay + time.Duration(r.Int64N(int64(maxCallerDelay-minCallerDelay)))}
			back := to
			if i < slowReaderHosts {
				back.part = slowReaderPart
			}
			s.network.set(direction{s.ip(hostCallers + i), d.ip}, to)
			s.network.set(direction{d.ip, s.ip(hostCallers + i)}, back)
		}
	}
	return nil
}

// closeSending ends the direction from the dialer, as a network does: what the acceptor still
// sends arrives.
func (l *proxiedLink) closeSending() {
	if tcp, ok := l.conns[1].(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// placeCaller gives a caller its host behind the slow links.
func (s *system) placeCaller(d *countedDialer, index int) {
	if !s.plays(PartLinks) || index < 0 {
		return
	}
	d.from = &net.TCPAddr{IP: net.ParseIP(s.ip(hostCallers + index%callerHosts))}
	d.path = func(address string) string {
		host, _, _ := net.SplitHostPort(address)
		return net.JoinHostPort(host, strconv.Itoa(portCaller))
	}
}

// startBusy starts processes that use a processor each. It returns a function that ends them.
func startBusy(count int) (stop func(), err error) {
	var running []*exec.Cmd
	stop = func() {
		for _, cmd := range running {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for range count {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			stop()
			return nil, errors.Wrap(err, "start a busy process")
		}
		running = append(running, cmd)
	}
	return stop, nil
}
