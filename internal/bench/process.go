package bench

import (
	"context"
	"os"
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

// processStopTimeout bounds the graceful shutdown of the daemons of one
// experiment.
const processStopTimeout = 10 * time.Second

// processSecrets are shared by the daemons that run as processes.
func processSecrets() local.Secrets {
	return local.Secrets{Peer: processPeerSecret, Operator: processOperatorToken, Backend: processBackendToken}
}

// votersOf lists daemons as voters.
func votersOf(daemons []*local.Process) []config.Voter {
	out := make([]config.Voter, 0, len(daemons))
	for _, d := range daemons {
		out = append(out, config.Voter{ID: api.VoterID(d.Name), Address: d.Peer})
	}
	return out
}

// processPair is one control daemon and one entry, each a process.
type processPair struct {
	dir     string
	control *local.Process
	entry   *local.Process
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
	addresses, err := local.FreeAddresses(4)
	if err != nil {
		return err
	}
	p.control = &local.Process{Name: "control1", Peer: addresses[0], Callers: addresses[1]}
	p.entry = &local.Process{Name: "entry1", Peer: addresses[2], Callers: addresses[3]}
	p.client = ctl.NewClient([]string{p.control.Callers}, config.Secret(processOperatorToken), "bench")
	voters := votersOf([]*local.Process{p.control})
	p.control.Configure(pathDomains[1], voters, processSecrets(), config.RoleControl)
	p.control.Settings["preset"] = string(preset)
	p.control.Settings["data-dir"] = filepath.Join(p.dir, p.control.Name)
	p.control.Settings["bootstrap"] = "true"
	if err = p.control.Start(); err != nil {
		return err
	}
	p.entry.Configure(pathDomains[0], voters, processSecrets(), config.RoleEntry)
	p.entry.Settings["max-connections"] = "100000"
	p.entry.Environment = map[string]string{"GOMAXPROCS": strconv.Itoa(procs)}
	return p.entry.Start()
}

// await polls a condition until it is met or ctx ends.
func (p *processPair) await(ctx context.Context, what string, condition func() (bool, error)) error {
	const pollInterval = 50 * time.Millisecond
	for {
		done, err := condition()
		if err == nil && done {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
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
		local.StopProcesses(processStopTimeout, p.entry, p.control)
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
// The name of the program, field 2, may contain blanks and ends in a
// parenthesis.
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

// since returns what was used since an earlier reading.
func (u usage) since(before usage) usage {
	return usage{
		cpu:     u.cpu - before.cpu,
		read:    u.read - before.read,
		written: u.written - before.written,
		reads:   u.reads - before.reads,
		writes:  u.writes - before.writes,
	}
}
