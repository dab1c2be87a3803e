package local

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
)

// Process is one daemon as a process of its own. Its methods are for one
// goroutine, apart from Exited.
type Process struct {
	Name string
	// Peer and Callers are the "ip:port" that it listens on.
	Peer    string
	Callers string
	// Program is the path of the binary; empty stands for this program.
	Program string
	// Settings are flags of "serve" by their names. They are given in the
	// environment, so that no secret stands in a list of processes.
	Settings map[string]string
	// Environment has further variables.
	Environment map[string]string
	// Log receives what the daemon logs; nil drops it.
	Log io.Writer

	cmd    *exec.Cmd
	exited chan struct{}
}

// Secrets are what the daemons of one system share.
type Secrets struct {
	Peer     config.Secret
	Operator config.Secret
	Backend  config.Secret
}

// Configure fills the settings that every daemon needs. voters names the control
// daemons with their peer addresses.
func (p *Process) Configure(domain api.FailureDomain, voters []config.Voter, s Secrets, roles ...config.Role) {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, string(r))
	}
	list := make([]string, 0, len(voters))
	for _, v := range voters {
		list = append(list, string(v.ID)+"="+v.Address)
	}
	p.Settings = map[string]string{
		"name":           p.Name,
		"roles":          strings.Join(names, ","),
		"domain":         string(domain),
		"peer-listen":    p.Peer,
		"caller-listen":  p.Callers,
		"voters":         strings.Join(list, ","),
		"peer-secret":    s.Peer.Reveal(),
		"operator-token": s.Operator.Reveal(),
		"backend-token":  s.Backend.Reveal(),
	}
}

// Start runs "serve" with the settings. A daemon that has ended may be started
// again.
func (p *Process) Start() error {
	program, err := p.program()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, "serve")
	p.cmd.Env = p.environment()
	p.cmd.Stderr = p.Log
	if err := StartCommand(p.cmd); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		defer close(exited)
		_ = cmd.Wait()
	}(p.cmd, p.exited)
	return nil
}

func (p *Process) program() (string, error) {
	if p.Program != "" {
		return p.Program, nil
	}
	own, err := os.Executable()
	return own, errors.Wrap(err, "find this program")
}

func (p *Process) environment() []string {
	env := make([]string, 0, 1+len(p.Settings)+len(p.Environment))
	env = append(env, "PATH="+os.Getenv("PATH"))
	for flag, value := range p.Settings {
		env = append(env, config.EnvName(flag)+"="+value)
	}
	for name, value := range p.Environment {
		env = append(env, name+"="+value)
	}
	return env
}

// Started reports whether Start has succeeded.
func (p *Process) Started() bool { return p.exited != nil }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Succeeded reports whether the process ended with exit code 0. Call it after
// Exited is closed.
func (p *Process) Succeeded() bool { return p.cmd.ProcessState.Success() }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill ends the process at once, a frozen one too, and waits for it.
func (p *Process) Kill() {
	if !p.Started() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// StopProcesses shuts processes down, all at once, and kills those that take
// longer than the limit. Processes that were not started are passed over.
func StopProcesses(limit time.Duration, all ...*Process) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, p := range all {
		if p.Started() {
			_ = p.Signal(os.Interrupt)
		}
	}
	for _, p := range all {
		if !p.Started() {
			continue
		}
		select {
		case <-p.exited:
		case <-ctx.Done():
			p.Kill()
		}
	}
}

// drawn holds every address that FreeAddresses has returned. Its lock also keeps
// the start of a process apart from the listeners of FreeAddresses: until it runs
// its program, a new process holds every open listener as well, and would go on
// listening on a port that was given out.
var drawn = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// StartCommand starts a command. Programs that use FreeAddresses start every
// process with it.
func StartCommand(cmd *exec.Cmd) error {
	drawn.Lock()
	defer drawn.Unlock()
	return cmd.Start()
}

// FreeAddresses returns n addresses "ip:port" with ports that the kernel chose,
// none of which this process was given before. The kernel may give a closed port
// out again, so all are held until the last is known. They stay free until a
// daemon binds them: nothing else uses this loopback address, which only the
// present process has.
func FreeAddresses(n int) ([]string, error) {
	drawn.Lock()
	defer drawn.Unlock()
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	out := make([]string, 0, n)
	for len(out) < n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		if err != nil {
			return nil, errors.Wrap(err, "choose a port")
		}
		defer func() { _ = ln.Close() }()
		address := ln.Addr().String()
		if drawn.addresses[address] {
			continue
		}
		drawn.addresses[address] = true
		out = append(out, address)
	}
	return out, nil
}
