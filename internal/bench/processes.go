package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/telemetry"
)

const (
	// maxProcesses bounds the daemons of one system.
	maxProcesses = 90
	// processMemory is the expected bound of a daemon's memory, in bytes.
	processMemory = 100 << 20
)

// processes is a region of daemons that are separate processes of this binary:
// voters of the control role alone, and entries.
type processes struct {
	voters  []*local.Process
	entries []*local.Process
	client  *ctl.Client
	dir     string
}

// startProcesses starts the daemons. The caller must close the result.
func startProcesses(voters, entries int) (*processes, error) {
	if err := checkSize(voters + entries); err != nil {
		return nil, err
	}
	addresses, err := local.FreeAddresses(2 * (voters + entries))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "crocusway-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	p := &processes{dir: dir}
	for i := range voters + entries {
		d := &local.Process{Peer: addresses[2*i], Callers: addresses[2*i+1]}
		if i < voters {
			d.Name = fmt.Sprintf("voter%d", i+1)
			p.voters = append(p.voters, d)
			continue
		}
		d.Name = fmt.Sprintf("entry%d", i-voters+1)
		p.entries = append(p.entries, d)
	}
	p.client = ctl.NewClient(callerAddresses(p.voters), processOperatorToken, "bench")
	for i, d := range p.all() {
		if err := p.startAt(i, d); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

// checkSize refuses systems with more than maxProcesses daemons, and those
// expected to use more than half of the available memory.
func checkSize(n int) error {
	if n > maxProcesses {
		return errors.Newf("processes: %d, must be at most %d", n, maxProcesses)
	}
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return errors.Wrap(err, "read free memory")
	}
	for line := range strings.Lines(string(raw)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "MemAvailable: %d kB", &kilobytes); err != nil {
			continue
		}
		if n*processMemory > kilobytes<<10/2 {
			return errors.Newf("processes: %d of %d bytes, must fit half of the %d kB of free memory", n, processMemory, kilobytes)
		}
	}
	return nil
}

func (p *processes) all() []*local.Process {
	return append(append([]*local.Process{}, p.voters...), p.entries...)
}

func callerAddresses(daemons []*local.Process) []string {
	out := make([]string, 0, len(daemons))
	for _, d := range daemons {
		out = append(out, d.Callers)
	}
	return out
}

// startAt starts the daemon at index i of all.
func (p *processes) startAt(i int, d *local.Process) error {
	role := config.RoleEntry
	if i < len(p.voters) {
		role = config.RoleControl
	}
	d.Configure(threeDomains[i%len(threeDomains)], votersOf(p.voters), processSecrets(), role)
	d.Settings["log-level"] = "error"
	if role == config.RoleControl {
		d.Settings["data-dir"] = filepath.Join(p.dir, d.Name)
		d.Settings["bootstrap"] = "true"
	}
	return d.Start()
}

// close ends every process that was started and removes the data folders.
func (p *processes) close() {
	local.StopProcesses(processStopTimeout, p.all()...)
	_ = os.RemoveAll(p.dir)
}

// processCost holds the resources that one daemon has used up to one moment.
type processCost struct {
	at    time.Time
	links int64
	usage telemetry.ProcessUsage
	// leading is set on the leader.
	leading bool
}

// readCost reads a daemon's use of resources from its dump.
func (p *processes) readCost(d *local.Process) (processCost, error) {
	raw, err := p.client.Dump(d.Callers)
	if err != nil {
		return processCost{}, err
	}
	var dump struct {
		Process telemetry.ProcessUsage `json:"process"`
		Links   peer.Stats             `json:"links"`
		Control struct {
			Log struct {
				Leading bool `json:"leading"`
			} `json:"log"`
		} `json:"control"`
	}
	if err := json.Unmarshal(raw, &dump); err != nil {
		return processCost{}, errors.Wrapf(err, "decode the dump of %s", d.Name)
	}
	return processCost{
		at:      time.Now(),
		links:   dump.Links.SentBytes + dump.Links.ReceivedBytes,
		usage:   dump.Process,
		leading: dump.Control.Log.Leading,
	}, nil
}

// status returns the leader's summary, or false while there is none.
func (p *processes) status() (api.StatusResponse, bool) {
	status, err := p.client.Status()
	return status, err == nil
}
