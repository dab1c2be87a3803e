package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
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
	// processStop bounds the graceful shutdown of all daemons.
	processStop = 2 * time.Second

	processOperatorToken = "bench-operator-token"
	processBackendToken  = "bench-backend-token-1"
	processPeerSecret    = "bench-peer-secret-01"
)

// daemonProcess is one daemon in a process of its own.
type daemonProcess struct {
	name    string
	peer    string
	callers string
	command *exec.Cmd
	exited  chan struct{}
}

// processes is a region of daemons that are separate processes of this binary:
// voters of the control role alone, and entries.
type processes struct {
	voters  []*daemonProcess
	entries []*daemonProcess
	client  *ctl.Client
	dir     string
}

// startProcesses starts the daemons. The caller must close the result.
func startProcesses(voters, entries int) (*processes, error) {
	if err := checkRoom(voters + entries); err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find own program")
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
		d := &daemonProcess{peer: addresses[2*i], callers: addresses[2*i+1]}
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
		if err := d.start(program, p.environment(i, d)); err != nil {
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

// freeAddresses draws n different ports from the kernel and holds all of them
// until the last is known. The loopback address belongs to this process alone.
func freeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	out := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		if err != nil {
			return nil, errors.Wrap(err, "draw a port")
		}
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

func (p *processes) all() []*daemonProcess {
	return append(append([]*daemonProcess{}, p.voters...), p.entries...)
}

func callerAddresses(daemons []*daemonProcess) []string {
	out := make([]string, 0, len(daemons))
	for _, d := range daemons {
		out = append(out, d.callers)
	}
	return out
}

// environment returns the settings of the daemon at a position of all.
func (p *processes) environment(i int, d *daemonProcess) []string {
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
	env := make([]string, 0, len(settings)+1)
	env = append(env, "PATH="+os.Getenv("PATH"))
	for flag, value := range settings {
		env = append(env, config.EnvName(flag)+"="+value)
	}
	return env
}

func (d *daemonProcess) start(program string, env []string) error {
	d.command = exec.Command(program, "serve")
	d.command.Env = env
	if err := d.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", d.name)
	}
	d.exited = make(chan struct{})
	go func() {
		defer close(d.exited)
		_ = d.command.Wait()
	}()
	return nil
}

// stop ends the process, which may end by itself until ctx ends.
func (d *daemonProcess) stop(ctx context.Context) {
	select {
	case <-d.exited:
	case <-ctx.Done():
		_ = d.command.Process.Kill()
		<-d.exited
	}
}

// close ends every process that was started and removes the data folders.
func (p *processes) close() {
	var started []*daemonProcess
	for _, d := range p.all() {
		if d.exited != nil {
			started = append(started, d)
			_ = d.command.Process.Signal(os.Interrupt)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), processStop)
	defer cancel()
	for _, d := range started {
		d.stop(ctx)
	}
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
func (p *processes) readCost(d *daemonProcess) (processCost, error) {
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
