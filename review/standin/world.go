package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments, from their settings.
const (
	heartbeatInterval = 1200 * time.Millisecond
	stableWindow      = 3 * time.Second
	catchUp           = 4 * time.Second
	drainTime         = 2 * time.Second
	graceTime         = 8 * time.Second
	evacuateTime      = 5 * time.Second
	outerTime         = 5 * time.Second
	ackTime           = 4 * time.Second
)

// ports are those of every daemon, which has an address of its own.
type ports struct {
	peer, front, ready, directory, control int
}

// world is one system with everything around it.
type world struct {
	dir     string
	roles   map[string]roleFile
	network string
	ports   ports
	began   time.Time

	mu      sync.Mutex
	out     *os.File
	daemons []*daemon
	servers []*server
	closed  bool
	// stopped ends the clients and the heartbeats.
	stopped chan struct{}
}

func newWorld(recordFile string) (*world, error) {
	roles, err := readRoles("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, roles: roles, out: out, began: time.Now(), stopped: make(chan struct{})}
	return w, w.chooseNetwork()
}

// chooseNetwork picks loopback addresses and ports that nobody listens on.
func (w *world) chooseNetwork() error {
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		base := 21000 + 20*rand.Intn(400)
		w.ports = ports{peer: base, front: base + 10, ready: base + 11, directory: base + 12, control: base + 13}
		if w.isFree(base) {
			return nil
		}
	}
	return fmt.Errorf("no free ports on loopback")
}

func (w *world) isFree(base int) bool {
	for _, port := range []int{base, base + 1, base + 10, base + 11, base + 12, base + 13} {
		l, err := net.Listen("tcp", w.address(10, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (w *world) ip(host int) string { return w.network + strconv.Itoa(host) }

func (w *world) address(host, port int) string {
	return net.JoinHostPort(w.ip(host), strconv.Itoa(port))
}

// record writes a line with the time since the start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the case started.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.stopped)
	daemons, servers := w.daemons, w.servers
	w.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, s := range servers {
		s.close()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) isClosed() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// roleFile is a role of the deploy file.
type roleFile struct {
	run []string
	env []string
}

// readRoles reads the command and the environment of each role.
func readRoles(name string) (map[string]roleFile, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	roles := make(map[string]roleFile)
	role := ""
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if text, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(text, "]")
			continue
		}
		key, value, ok := strings.Cut(line, " = ")
		if !ok || role == "" {
			continue
		}
		r := roles[role]
		switch key {
		case "run":
			r.run = strings.Fields(strings.Trim(value, `"`))
		case "env":
			for _, pair := range strings.Split(strings.Trim(value, "{} "), ", ") {
				k, v, _ := strings.Cut(pair, " = ")
				r.env = append(r.env, k+"="+strings.Trim(v, `"`))
			}
		}
		roles[role] = r
	}
	for _, role := range []string{"control", "entry"} {
		if len(roles[role].run) == 0 {
			return nil, fmt.Errorf("%s has no command for the role %s", filepath.Base(name), role)
		}
	}
	return roles, lines.Err()
}
