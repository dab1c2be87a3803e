package bench

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/local"
)

// Secrets of daemons that run as processes of one experiment.
const (
	processPeerSecret    = "bench-peer-secret-01"
	processOperatorToken = "bench-operator-token"
	processBackendToken  = "bench-backend-token-1"
)

// processStop bounds the graceful shutdown of a daemon's process.
const processStop = 10 * time.Second

// process is one daemon in a process of its own.
type process struct {
	name    string
	peer    string
	callers string
	log     bytes.Buffer
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startProcess runs this program's "serve" with settings from the environment.
func startProcess(p *process, env map[string]string) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	p.cmd = exec.Command(program, "serve")
	for name, value := range env {
		p.cmd.Env = append(p.cmd.Env, name+"="+value)
	}
	p.cmd.Stderr = &p.log
	if err = p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.exited = make(chan struct{})
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	return nil
}

// interrupt begins a graceful shutdown.
func (p *process) interrupt() {
	if p.exited != nil {
		_ = p.cmd.Process.Signal(os.Interrupt)
	}
}

// wait returns once the process has ended. It kills the process when ctx ends.
func (p *process) wait(ctx context.Context) {
	if p.exited == nil {
		return
	}
	select {
	case <-p.exited:
	case <-ctx.Done():
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// stopProcesses shuts processes down, all at once, and kills those that take too
// long. Processes that were not started are passed over.
func stopProcesses(all ...*process) {
	ctx, cancel := context.WithTimeout(context.Background(), processStop)
	defer cancel()
	for _, p := range all {
		p.interrupt()
	}
	for _, p := range all {
		p.wait(ctx)
	}
}

// freeAddresses returns n different loopback addresses with ports that the
// kernel chose. All are held until the last is known, so that none comes twice.
func freeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	out := make([]string, 0, n)
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		if err != nil {
			return nil, errors.Wrap(err, "choose a port")
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// processPair is one control daemon and one entry, each a process.
type processPair struct {
	dir     string
	control *process
	entry   *process
	client  *ctl.Client
}

// startPair starts both daemons; the entry uses at most procs processors.
func startPair(preset Preset, procs int) (*processPair, error) {
	dir, err := os.MkdirTemp("", "crocusway-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	p := &processPair{dir: dir}
	if err = p.start(preset, procs); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *processPair) start(preset Preset, procs int) error {
	free, err := freeAddresses(4)
	if err != nil {
		return err
	}
	p.control = &process{name: "control1", peer: free[0], callers: free[1]}
	p.entry = &process{name: "entry1", peer: free[2], callers: free[3]}
	p.client = ctl.NewClient([]string{p.control.callers}, config.Secret(processOperatorToken), "bench")
	env := p.environment(p.control, config.RoleControl, pathDomains[1], preset)
	env["CROCUSWAY_DATA_DIR"] = filepath.Join(p.dir, p.control.name)
	env["CROCUSWAY_BOOTSTRAP"] = "true"
	if err = startProcess(p.control, env); err != nil {
		return err
	}
	env = p.environment(p.entry, config.RoleEntry, pathDomains[0], preset)
	env["GOMAXPROCS"] = strconv.Itoa(procs)
	env["CROCUSWAY_MAX_CONNECTIONS"] = "100000"
	return startProcess(p.entry, env)
}

func (p *processPair) environment(d *process, role config.Role, domain api.FailureDomain, preset Preset) map[string]string {
	return map[string]string{
		"PATH":                     os.Getenv("PATH"),
		"CROCUSWAY_NAME":           d.name,
		"CROCUSWAY_ROLES":          string(role),
		"CROCUSWAY_DOMAIN":         string(domain),
		"CROCUSWAY_PRESET":         string(preset),
		"CROCUSWAY_PEER_LISTEN":    d.peer,
		"CROCUSWAY_CALLER_LISTEN":  d.callers,
		"CROCUSWAY_VOTERS":         p.control.name + "=" + p.control.peer,
		"CROCUSWAY_PEER_SECRET":    processPeerSecret,
		"CROCUSWAY_OPERATOR_TOKEN": processOperatorToken,
		"CROCUSWAY_BACKEND_TOKEN":  processBackendToken,
	}
}

// await repeats a step until it holds or ctx ends.
func (p *processPair) await(ctx context.Context, what string, holds func() (bool, error)) error {
	const look = 50 * time.Millisecond
	for {
		held, err := holds()
		if err == nil && held {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(look)) {
			return errors.CombineErrors(errors.Newf("await %s: %v", what, ctx.Err()), err)
		}
	}
}

// confirm brings an intent into force and waits for its replicas.
func (p *processPair) confirm(ctx context.Context, intent api.Intent, replicas int) error {
	const decideWait = 5 * time.Second
	err := p.await(ctx, "the confirmed intent", func() (bool, error) {
		plan, err := p.client.Plan(intent)
		if err != nil {
			return false, err
		}
		_, err = p.client.Decide(plan.ID, true, decideWait)
		return true, err
	})
	if err != nil {
		return err
	}
	return p.await(ctx, "all replicas", func() (bool, error) {
		s, err := p.client.Status()
		return err == nil && local.ReadyGroups(s, pathModel) == replicas && local.LiveEntries(s) == 1, err
	})
}

func (p *processPair) stop() {
	if p.entry != nil {
		stopProcesses(p.entry, p.control)
	}
	_ = os.RemoveAll(p.dir)
}

// usage is what a process has used since its start.
type usage struct {
	cpu time.Duration
	// read and written count bytes, reads and writes the calls of the kernel
	// that moved them.
	read, written int64
	reads, writes int64
}

// clockTick is the unit of processor time in /proc, fixed for user space.
const clockTick = 10 * time.Millisecond

// readUsage reads the counters that the kernel keeps of a process.
func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, errors.Wrap(err, "read processor time")
	}
	io, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return usage{}, errors.Wrap(err, "read bytes")
	}
	u, err := parseStat(string(stat))
	if err != nil {
		return usage{}, err
	}
	return u, u.parseIO(string(io))
}

// parseStat reads the user and system time, fields 14 and 15 of /proc/PID/stat.
// The name of the program, field 2, may hold blanks and ends in a parenthesis.
func parseStat(text string) (usage, error) {
	const userField, systemField, afterName = 14, 15, 3
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemField-afterName {
		return usage{}, errors.Newf("read processor time: %d fields", len(fields))
	}
	user, err := strconv.ParseInt(fields[userField-afterName], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "read user time")
	}
	system, err := strconv.ParseInt(fields[systemField-afterName], 10, 64)
	return usage{cpu: time.Duration(user+system) * clockTick}, errors.Wrap(err, "read system time")
}

func (u *usage) parseIO(text string) error {
	fields := map[string]*int64{"rchar": &u.read, "wchar": &u.written, "syscr": &u.reads, "syscw": &u.writes}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		field, known := fields[name]
		if !known {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		*field = n
	}
	return nil
}

// since returns what was used after an earlier reading.
func (u usage) since(before usage) usage {
	return usage{
		cpu:     u.cpu - before.cpu,
		read:    u.read - before.read,
		written: u.written - before.written,
		reads:   u.reads - before.reads,
		writes:  u.writes - before.writes,
	}
}
