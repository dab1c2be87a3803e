package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/clock"
)

// Ports of every daemon. Links between daemons go to portPeer, which the network
// forwards to portListen.
const (
	portPeer      = 7340
	portListen    = 7349
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8228
	// portCaller is the port for callers whose links the network slows.
	portCaller = 8226
)

const (
	roleControl = "control"
	roleEntry   = "entry"
	peerSecret  = "a secret of the soak"
)

// daemon is one process of the system under test.
type daemon struct {
	name, role, ip, zone string
	dir                  string
	binary               string
	oracle               *oracle
	// retrySlack is the bound of that name, 0: the usual one.
	retrySlack int

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	bootstrap bool
	started   time.Time
	// expected is set while the process may end: it was sent SIGTERM or SIGKILL.
	expected bool
	// paused is how long the process was stopped so far, without a pause that goes on
	// since pausedSince.
	paused      time.Duration
	pausedSince time.Time
	// resumed is when the process last went on after a pause.
	resumed time.Time
}

func (d *daemon) address(port int) string { return net.JoinHostPort(d.ip, strconv.Itoa(port)) }

// settings returns the text of the settings file.
func (d *daemon) settings(seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = strconv.Quote(seed)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nip = %q\nzone = %q\ninternalPorts = [%d,%d]\nseeds = [%s]\nheartbeatMs = %d\n",
		d.name, d.ip, d.zone, portPeer, portPeer+9, strings.Join(quoted, ","), heartbeatInterval.Milliseconds())
	if d.role == roleControl {
		fmt.Fprintf(&b, "bootstrap = %t\ndataDir = %q\n[listen]\ncontrol = %q\n", d.bootstrap, filepath.Join(d.dir, "data"), d.address(portControl))
	} else {
		fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ndirectory = %q\n", d.address(portFront), d.address(portReady), d.address(portDirectory))
	}
	fmt.Fprintf(&b, "[faultTolerance]\nmachines = 1\n[bounds]\ndrainMs = %d\ngraceS = %g\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"+
		"retrySlack = %d\nttl_max_s = 5\nconfigApplyMs = %d\n", drainTime.Milliseconds(), grace.Seconds(), cmp.Or(d.retrySlack, usualRetrySlack), configApply.Milliseconds())
	return b.String()
}

func (d *daemon) writeSettings(seeds []string) error {
	if err := os.MkdirAll(filepath.Join(d.dir, "data"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(d.dir, "settings.toml"), []byte(d.settings(seeds)), 0o600)
}

// start starts the process, with its output appended to the daemon's log.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startLocked()
}

// startLocked is start with the lock held.
func (d *daemon) startLocked() error {
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	//nolint:gosec // The binary is the one under test.
	cmd := exec.Command(d.binary, "platform", "--role="+d.role, "--settings="+filepath.Join(d.dir, "settings.toml"),
		"--peer-listen="+d.address(portListen), "--peer-source="+d.ip, "--server-source="+d.ip)
	cmd.Env = []string{"CROCUSWAY_PEER_SECRET=" + peerSecret, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", d.name)
	}
	done := make(chan struct{})
	d.cmd, d.done, d.started, d.expected = cmd, done, time.Now(), false
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.cmd == cmd && !d.expected {
			d.oracle.violation("EXIT: %s ended by itself: %v", d.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the daemon's own process. It returns a channel that is closed
// when that process has ended.
func (d *daemon) signal(s syscall.Signal) (ended <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.oracle.signaled(d.name, d.role, s, time.Now())
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		d.expected = true
	case syscall.SIGSTOP:
		if d.pausedSince.IsZero() {
			d.pausedSince = time.Now()
		}
	case syscall.SIGCONT:
		if !d.pausedSince.IsZero() {
			d.paused += time.Since(d.pausedSince)
			d.pausedSince, d.resumed = time.Time{}, time.Now()
		}
	}
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
	return d.done
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	<-d.signal(syscall.SIGKILL)
}

// terminate stops the process gracefully, and kills it at the end of its grace. Time for
// which the process was stopped by another lane, or the soak did not run, does not count.
func (d *daemon) terminate() {
	began, before := time.Now(), d.pausedTime()
	// Once it has ended, another lane may start the daemon again at any time.
	ended := d.signal(syscall.SIGTERM)
	for {
		left := grace + d.pausedTime() - before + d.oracle.stalledSince(began) - time.Since(began)
		if left <= 0 {
			d.oracle.violation("EXIT: %s still runs %s after SIGTERM", d.name, grace)
			d.kill()
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(min(left, slowPeriod)):
		}
	}
}

// pausedTime returns how long the process was stopped so far.
func (d *daemon) pausedTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pausedSince.IsZero() {
		return d.paused
	}
	return d.paused + time.Since(d.pausedSince)
}

// undisturbedSince reports whether the process has run since a time without a restart or a
// pause.
func (d *daemon) undisturbedSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pausedSince.IsZero() && d.started.Before(at) && d.resumed.Before(at)
}

func (d *daemon) ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// execTime is how long a program may take until its runtime handles signals.
const execTime = 50 * time.Millisecond

// hangUp sends SIGHUP. Right after the start no program can handle it.
func (d *daemon) hangUp(ctx context.Context) {
	d.mu.Lock()
	started := d.started
	d.mu.Unlock()
	clock.Sleep(ctx, time.Until(started.Add(execTime)))
	d.signal(syscall.SIGHUP)
}

// accepts reports whether the entry accepts connections of callers.
func (d *daemon) accepts() bool {
	conn, err := net.DialTimeout("tcp", d.address(portFront), directoryWait)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// pause stops the process for a time.
func (d *daemon) pause(ctx context.Context, length time.Duration) {
	d.signal(syscall.SIGSTOP)
	clock.Sleep(ctx, length)
	d.signal(syscall.SIGCONT)
}

// slow lets the process run for a share of each period only.
func (d *daemon) slow(ctx context.Context, length time.Duration, share float64) {
	running := time.Duration(share * float64(slowPeriod))
	for until := time.Now().Add(length); time.Now().Before(until) && ctx.Err() == nil; {
		d.pause(ctx, slowPeriod-running)
		clock.Sleep(ctx, running)
	}
}

// slowPeriod is the period in which a slowed process is stopped and continued.
const slowPeriod = 50 * time.Millisecond

// wipe empties the data folder of a stopped control daemon, which is then no longer
// part of a first start.
func (d *daemon) wipe(seeds []string) error {
	if err := os.RemoveAll(filepath.Join(d.dir, "data")); err != nil {
		return err
	}
	d.bootstrap = false
	return d.writeSettings(seeds)
}
