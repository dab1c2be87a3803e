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
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/telemetry"
)

const (
	// maxProcesses bounds the daemons of one system.
	maxProcesses = 90
	// processMemory is what a daemon is expected to stay below, in bytes.
	processMemory = 100 << 20
)

// processes is a region of daemons that are separate processes of this binary:
// voters of the control role alone, and entries.
type processes struct {
	voters  []*process
	entries []*process
	client  *ctl.Client
	dir     string
}

// startProcesses starts the daemons. The caller must close the result.
func startProcesses(voters, entries int) (*processes, error) {
	if err := checkRoom(voters + entries); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(2 * (voters + entries))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "crocusway-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	p := &processes{dir: dir}
	for i := range voters + entries {
		d := &process{peer: addresses[2*i], callers: addresses[2*i+1]}
		if i < voters {
			d.name = fmt.Sprintf("voter%d", i+1)
			p.voters = append(p.voters, d)
			continue
		}
		d.name = fmt.Sprintf("entry%d", i-voters+1)
		p.entries = append(p.entries, d)
	}
	p.client = ctl.NewClient(callerAddresses(p.voters), processOperatorToken, "bench")
	for i, d := range p.all() {
		if err := startProcess(d, p.environment(i, d)); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

// checkRoom refuses systems that would take more than half of the memory.
func checkRoom(n int) error {
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

func (p *processes) all() []*process {
	return append(append([]*process{}, p.voters...), p.entries...)
}

func callerAddresses(daemons []*process) []string {
	out := make([]string, 0, len(daemons))
	for _, d := range daemons {
		out = append(out, d.callers)
	}
	return out
}

// environment returns the settings of the daemon at a position of all.
func (p *processes) environment(i int, d *process) map[string]string {
	voters := make([]string, 0, len(p.voters))
	for _, v := range p.voters {
		voters = append(voters, v.name+"="+v.peer)
	}
	settings := map[string]string{
		"name":           d.name,
		"roles":          string(config.RoleEntry),
		"domain":         string(threeDomains[i%len(threeDomains)]),
		"peer-listen":    d.peer,
		"caller-listen":  d.callers,
		"voters":         strings.Join(voters, ","),
		"peer-secret":    processPeerSecret,
		"operator-token": processOperatorToken,
		"backend-token":  processBackendToken,
		"log-level":      "error",
	}
	if i < len(p.voters) {
		settings["roles"] = string(config.RoleControl)
		settings["data-dir"] = filepath.Join(p.dir, d.name)
		settings["bootstrap"] = "true"
	}
	env := map[string]string{"PATH": os.Getenv("PATH")}
	for flag, value := range settings {
		env[config.EnvName(flag)] = value
	}
	return env
}

// close ends every process that was started and removes the data folders.
func (p *processes) close() {
	stopProcesses(p.all()...)
	_ = os.RemoveAll(p.dir)
}

// processCost is what one daemon has used up to one moment.
type processCost struct {
	at    time.Time
	links int64
	usage telemetry.ProcessUsage
	// leading is set on the leader.
	leading bool
}

// readCost asks a daemon for its state.
func (p *processes) readCost(d *process) (processCost, error) {
	raw, err := p.client.Dump(d.callers)
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
		return processCost{}, errors.Wrapf(err, "decode the dump of %s", d.name)
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
