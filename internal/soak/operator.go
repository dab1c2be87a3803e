package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// largeRoutes is the number of routes that a large change adds, up to maxRoutes.
const (
	largeRoutes = 1400
	maxRoutes   = 3 * largeRoutes
)

// operator sends configurations and reads them back.
type operator struct {
	system *system
	client *http.Client
	mu     sync.Mutex
	// version is the newest version sent, extra the number of routes beside the usual.
	version uint64
	extra   int
}

func newOperator(s *system) *operator {
	return &operator{system: s, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// document returns a new version. Versions increase in uneven steps.
func (p *operator) document(r *rand.Rand, moreRoutes int) (version uint64, text string) {
	return p.documentWith(r, moreRoutes, usualVariant())
}

func (p *operator) documentWith(r *rand.Rand, moreRoutes int, v variant) (version uint64, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version += 1 + r.Uint64N(4)
	p.extra = min(p.extra+moreRoutes, maxRoutes)
	p.system.oracle.versionTimeouts(p.version, v.timeouts)
	return p.version, documentOf(p.version, p.extra, v)
}

// documentOf returns the configuration of a version.
func documentOf(version uint64, extra int, v variant) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	route := func(name, path string, k kind, service string, rest string) {
		fmt.Fprintf(&b, `{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":300,"priority":1,%s,"maxAttempts":2%s},`,
			name, callerHost, path, k, v.timeouts[k].Milliseconds(), v.target(service), rest)
	}
	for i := range extra {
		route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%x/", uint64(i+1)*0x9e3779b97f4a7c15), kindSafe, "ledger", "")
	}
	route("stream", pathOf[kindStream], kindStream, "engines", `,"resumable":true,"sticky":true,"gapAimMs":300`)
	route("once", pathOf[kindOnce], kindOnce, "ledger", "")
	route("read", pathOf[kindSafe], kindSafe, "ledger", "")
	route("newest", versionPath(version), kindSafe, "ledger", "")
	text := strings.TrimSuffix(b.String(), ",")
	engine := fmt.Sprintf(`{"slots":%d,"kvCapacity":1590000,"stride":7,`+
		`"step_ms":2,"per_seq_ms":0.04,"read_per_s":50700,"chunk":2048,"loadsPerS":20,"loads_at_once":6,"formMs":50,"keeps":1,"usual":{"prompt":40,"answer":84},`+
		`"models":[{"name":"m0","size":%d,"share":1,"pace":1,"loadS":0.1,"warmS":0.1}]}`, serverSlots, engineHosts)
	services := fmt.Sprintf(`{"name":"engines","healthPath":"/health","maxConns":500,"engine":%s},{"name":"ledger","healthPath":"/health","maxConns":500}`, engine)
	if v.spare > 0 {
		services += "," + strings.NewReplacer(`"engines"`, `"engines-spare"`, `"ledger"`, `"ledger-spare"`).Replace(services)
	}
	return text + fmt.Sprintf(`],"services":[%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":%d,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`, services, headerTimeoutMs, callerAccount, callerKey)
}

// versionPath is the path of a route that only one version has.
func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// publish sends a document to one daemon after the other until one acknowledges it. It
// returns false if none did by until.
func (p *operator) publish(ctx context.Context, r *rand.Rand, version uint64, text string, until time.Time) bool {
	p.system.oracle.publishing(version, text)
	for time.Now().Before(until) && ctx.Err() == nil {
		status, _ := p.call(ctx, r, http.MethodPost, "/Config.Replace", text)
		switch status {
		case http.StatusOK:
			p.system.oracle.acknowledge(version)
			return true
		case http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			p.system.oracle.violation("CONFIG: the valid version %d is refused with %d", version, status)
			return false
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// call makes one call to a random control daemon. Its status is 0 without an answer.
func (p *operator) call(ctx context.Context, r *rand.Rand, method, path, body string) (int, string) {
	controls := p.system.controls()
	d := controls[r.IntN(len(controls))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(portControl)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

// readLoop reads the configuration again and again at any daemon.
func (p *operator) readLoop(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1<<32))
	for ctx.Err() == nil {
		p.read(ctx, r)
		clock.Sleep(ctx, time.Duration(r.Int64N(int64(100*time.Millisecond))))
	}
}

// read reads the configuration once and returns its version, 0 without an answer.
func (p *operator) read(ctx context.Context, r *rand.Rand) uint64 {
	atLeast := p.system.oracle.newest()
	status, text := p.call(ctx, r, http.MethodGet, "/Config.Get", "")
	if status != http.StatusOK {
		return 0
	}
	var d struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		p.system.oracle.violation("CONFIG: a read returns text that can't be decoded: %v", err)
		return 0
	}
	p.system.oracle.readBack("a control daemon", d.Version, text, atLeast)
	return d.Version
}

// change carries out an action of the operator.
func (p *operator) change(ctx context.Context, e event) {
	r := rand.New(rand.NewPCG(e.Seed, 1))
	// While the control daemons are disturbed a change may wait for them.
	until := time.Now().Add(e.Length + ackTime)
	switch e.Action {
	case actionChange:
		version, text := p.document(r, 0)
		p.publish(ctx, r, version, text, until)
	case actionLarge:
		version, text := p.document(r, largeRoutes)
		p.publish(ctx, r, version, text, until)
	case actionRace:
		var both sync.WaitGroup
		for range 2 {
			version, text := p.document(r, 0)
			own := rand.New(rand.NewPCG(r.Uint64(), 2))
			both.Go(func() { p.publish(ctx, own, version, text, until) })
		}
		both.Wait()
	case actionInvalid:
		version, text := p.document(r, 0)
		text = strings.Replace(text, `"service":"ledger"`, `"service":"unknown"`, 1)
		if status, _ := p.call(ctx, r, http.MethodPost, "/Config.Replace", text); status == http.StatusOK {
			p.system.oracle.violation("CONFIG: the invalid version %d is acknowledged", version)
		}
	case actionZone:
		zone := zones[r.IntN(len(zones))]
		p.setZone(ctx, r, "/Evacuation.Start/"+zone, until)
		clock.Sleep(ctx, e.Length)
		p.setZone(context.WithoutCancel(ctx), r, "/Evacuation.Finish/"+zone, time.Now().Add(recovery))
	}
}

// setZone repeats a call until it is acknowledged.
func (p *operator) setZone(ctx context.Context, r *rand.Rand, path string, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		if status, _ := p.call(ctx, r, http.MethodPost, path, ""); status == http.StatusOK {
			p.system.oracle.count("zones set")
			return
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
}
