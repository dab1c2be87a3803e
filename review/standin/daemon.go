package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one machine of the system with its process.
type daemon struct {
	w                *world
	name, role, zone string
	host             int
	bootstrap        bool
	seeds            []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addDaemon adds a machine. Call start to start its process.
func (w *world) addDaemon(role, zone string, host int, seeds []string, bootstrap bool) *daemon {
	d := &daemon{w: w, name: fmt.Sprintf("%s-%s-%d", role, zone, host), role: role, zone: zone, host: host, seeds: seeds, bootstrap: bootstrap}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, d)
	return d
}

func (d *daemon) control() string   { return d.w.address(d.host, d.w.ports.control) }
func (d *daemon) front() string     { return d.w.address(d.host, d.w.ports.front) }
func (d *daemon) directory() string { return d.w.address(d.host, d.w.ports.directory) }

func (d *daemon) dir() string { return filepath.Join(d.w.dir, d.name) }

// settings returns the settings file, with the fields that the pages list.
func (d *daemon) settings() string {
	p := d.w.ports
	var b strings.Builder
	class, serves := "core", `"control"`
	if d.role == "entry" {
		class, serves = "front", `"front", "directory"`
	}
	quoted := make([]string, len(d.seeds))
	for i, seed := range d.seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%s]\nip = %q\nzone = %q\nregion = \"r\"\n", d.name, d.role, class, serves, d.w.ip(d.host), d.zone)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = %t\ntoleranceMember = %t\n", p.peer, p.peer+9, strings.Join(quoted, ","), d.bootstrap, d.role == "control")
	fmt.Fprintf(&b, "discovery = \"registration\"\nentry = \"directory\"\nheartbeatMs = %d\nconfigMode = \"highest\"\n", heartbeatInterval.Milliseconds())
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"gangs\"]\n")
	if d.role == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(d.dir(), "data"))
	}
	b.WriteString("[zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n[listen]\n")
	if d.role == "control" {
		fmt.Fprintf(&b, "control = %q\n", d.control())
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\ndirectory = %q\n", d.front(), d.w.address(d.host, p.ready), d.directory())
	}
	b.WriteString("[limits]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 414\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n")
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = %d\nackMs = %d\ncatchUpS = %g\ndrainMs = %d\ngraceS = %g\n",
		stableWindow.Milliseconds(), ackTime.Milliseconds(), catchUp.Seconds(), drainTime.Milliseconds(), graceTime.Seconds())
	fmt.Fprintf(&b, "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nouterMs = %d\nstrictRevoke = false\nrevokeMs = 5000\n", outerTime.Milliseconds())
	fmt.Fprintf(&b, "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 134\ncoldRateFactor = 1.5\ncoldSlack = 5\nevacuateMs = %d\n", evacuateTime.Milliseconds())
	b.WriteString("recoveryS = 12\npassMs = 120\nretryAfterS = 0\nstallMs = 4000\nrequireFencing = true\nceilingWindowS = 5\nloadRateFactor = 1.1\nttl_max_s = 5\n")
	return b.String()
}

// start starts the process with the command of the deploy file. Later starts are no first start
// of the system.
func (d *daemon) start() error {
	if err := os.MkdirAll(filepath.Join(d.dir(), "data"), 0o700); err != nil {
		return err
	}
	file := filepath.Join(d.dir(), "node.toml")
	if err := os.WriteFile(file, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r := d.w.roles[d.role]
	cmd := exec.Command(r.run[0], r.run[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSWAY_BOOT=" + file}, r.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done, d.bootstrap = cmd, done, false
	d.mu.Unlock()
	d.w.record("%s starts at %s", d.name, d.w.ip(d.host))
	go func() {
		err := cmd.Wait()
		if !d.w.isClosed() {
			d.w.record("%s has ended: %v", d.name, err)
		}
		close(done)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.w.record("%s gets %v", d.name, s)
		_ = d.cmd.Process.Signal(s)
	}
}

// await waits for the end of the process.
func (d *daemon) await(limit time.Duration) bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// terminate stops the process as the platform does: SIGTERM, then SIGKILL after the grace.
func (d *daemon) terminate() {
	d.signal(syscall.SIGTERM)
	if !d.await(graceTime) {
		d.signal(syscall.SIGKILL)
		d.await(time.Second)
	}
}

func (d *daemon) kill() {
	d.mu.Lock()
	cmd, done := d.cmd, d.done
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// startSystem starts the control daemons and the entries of a small deployment within a
// moment, in no particular order.
func (w *world) startSystem(entryZones []string) (controls, entries []*daemon, err error) {
	zones := []string{"z-a", "z-b", "z-c"}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, w.address(10+i, w.ports.control))
	}
	for i, zone := range zones {
		controls = append(controls, w.addDaemon("control", zone, 10+i, seeds, true))
	}
	for i, zone := range entryZones {
		entries = append(entries, w.addDaemon("entry", zone, 40+i, seeds, true))
	}
	for _, d := range append(append([]*daemon{}, entries...), controls...) {
		if err := d.start(); err != nil {
			return nil, nil, err
		}
	}
	return controls, entries, nil
}

func controlAddresses(daemons []*daemon) []string {
	var out []string
	for _, d := range daemons {
		out = append(out, d.control())
	}
	return out
}
