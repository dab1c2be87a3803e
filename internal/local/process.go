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

// Process is one daemon that runs as a separate process. Except for Exited, its
// methods are not safe for concurrent use.
type Process struct {
	Name string
	// Peer and Callers are the "ip:port" that it listens on for peers and callers.
	Peer    string
	Callers string
	// Program is the path of the binary, by default the running executable.
	Program string
	// Settings are flags of "serve" by name. They are passed in the environment,
	// so that no secret appears in the process list.
	Settings map[string]string
	// Environment holds additional environment variables.
	Environment map[string]string
	// Log receives the daemon's log; nil discards it.
	Log io.Writer

	cmd    *exec.Cmd
	exited chan struct{}
}

// Secrets are the secrets that the daemons of one system share.
type Secrets struct {
	Peer     config.Secret
	Operator config.Secret
	Backend  config.Secret
}

// Configure sets the settings that every daemon needs. voters are the control
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

// Start runs "serve" with the settings. A daemon that has exited can be started
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
	return own, errors.Wrap(err, "find the running executable")
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

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Succeeded reports whether the process exited with code 0. It must be called
// after Exited is closed.
func (p *Process) Succeeded() bool { return p.cmd.ProcessState.Success() }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill kills the process, also if it is suspended, and waits for it.
func (p *Process) Kill() {
	if !p.Started() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// StopProcesses shuts processes down in parallel and kills those that take longer
// than the limit. It ignores processes that were not started.
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

// allocated holds every address that FreeAddresses has returned. Its mutex also
// prevents starting a process while FreeAddresses has open listeners: until exec, a
// new process inherits them and would keep listening on an allocated port.
var allocated = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// StartCommand starts a command. A program that uses FreeAddresses must start every
// process with it.
func StartCommand(cmd *exec.Cmd) error {
	allocated.Lock()
	defer allocated.Unlock()
	return cmd.Start()
}

// FreeAddresses returns n addresses "ip:port" with ports that the kernel chose and
// that this process has not allocated before. All listeners stay open until the last
// port is chosen, because the kernel may reuse a closed port. The ports then stay
// free until a daemon binds them, because the loopback IP is derived from the process
// id and nothing else uses it.
func FreeAddresses(n int) ([]string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	out := make([]string, 0, n)
	for len(out) < n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		if err != nil {
			return nil, errors.Wrap(err, "allocate a port")
		}
		defer func() { _ = ln.Close() }()
		address := ln.Addr().String()
		if allocated.addresses[address] {
			continue
		}
		allocated.addresses[address] = true
		out = append(out, address)
	}
	return out, nil
}
