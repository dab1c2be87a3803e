//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every host. Each host has a loopback address of its own.
const (
	portPeer      = 7340
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8228
	portServer    = 8080
	portMetrics   = 9464
)

// Bounds of a small deployment, as its sheet gives them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	grace             = 8 * time.Second
	stallTime         = 4 * time.Second
	configApply       = 2 * time.Second
	ackTime           = 4 * time.Second
	peerSecret        = "shared-by-the-daemons-of-one-deployment"
	callerHost        = "shop.example"
	callerKey         = "n2ctnfzs989anu6wsjnb"
	callerAccount     = "hule930"
)

// record is the protocol of one run, and the verdict.
type record struct {
	mu     sync.Mutex
	out    *os.File
	began  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, began: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
	r.log("BROKEN %s", text)
}

// daemon is one process of the system.
type daemon struct {
	name, role, ip, zone string
	dir                  string
	cmd                  *exec.Cmd
	done                 chan struct{}
	bootstrap            bool
}

func (d *daemon) address(port int) string { return net.JoinHostPort(d.ip, strconv.Itoa(port)) }

// system is the daemons, with the stand-ins around them.
type system struct {
	rec      *record
	dir      string
	binary   string
	net      int
	controls []*daemon
	entries  []*daemon
	fleet    *fleet
	version  uint64
	failed   error
}

// newSystem lays out three control daemons and the given number of entries.
func newSystem(rec *record, entries int) (*system, error) {
	dir, err := os.MkdirTemp("", "crocusway-review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/crocusway")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, binary: binary}
	if err := s.chooseNetwork(); err != nil {
		return nil, err
	}
	zones := []string{"a", "b", "c"}
	for i := range 3 {
		s.controls = append(s.controls, &daemon{
			name: "core-" + zones[i], role: "control", ip: s.ip(1, i+1), zone: "muscat-" + zones[i], bootstrap: true,
		})
	}
	for i := range entries {
		s.entries = append(s.entries, &daemon{
			name: fmt.Sprintf("front-%s-%d", zones[i%3], i), role: "entry", ip: s.ip(2, i+1), zone: "muscat-" + zones[i%3],
		})
	}
	s.fleet = newFleet(s)
	return s, nil
}

func (s *system) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, kind, i) }

// chooseNetwork picks a loopback network on which the ports are free.
func (s *system) chooseNetwork() error {
	for range 50 {
		s.net = 20 + rand.IntN(200)
		free := true
		for _, port := range []int{portPeer, portPeer + 1, portFront, portReady, portControl, portDirectory, portMetrics} {
			ln, err := net.Listen("tcp", net.JoinHostPort(s.ip(1, 1), strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (s *system) daemons() []*daemon {
	return append(append([]*daemon(nil), s.controls...), s.entries...)
}

// settings returns the settings file in the platform's format.
func (s *system) settings(d *daemon) string {
	var seeds []string
	for _, c := range s.controls[:3] {
		seeds = append(seeds, strconv.Quote(c.address(portControl)))
	}
	class, serves := "core", `["control"]`
	if d.role == "entry" {
		class, serves = "front", `["front","directory"]`
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"muscat\"\n", d.name, d.role, class, serves, d.ip, d.zone)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = %t\ntoleranceMember = %t\ndiscovery = \"registration\"\nentry = \"directory\"\nheartbeatMs = %d\n",
		portPeer, portPeer+9, strings.Join(seeds, ","), d.bootstrap, d.role == "control", heartbeatInterval.Milliseconds())
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"gangs\"]\nconfigMode = \"highest\"\n")
	if d.role == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(d.dir, "data"))
	}
	b.WriteString("[zones]\nmuscat-a = \"muscat\"\nmuscat-b = \"muscat\"\nmuscat-c = \"muscat\"\n[listen]\n")
	if d.role == "control" {
		fmt.Fprintf(&b, "control = %q\n", d.address(portControl))
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\ndirectory = %q\n", d.address(portFront), d.address(portReady), d.address(portDirectory))
	}
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n" +
		"configApplyMs = 2000\nrollbackSlackMs = 250\nouterMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n" +
		"retrySlack = 134\ncoldRateFactor = 1.5\ncoldSlack = 5\nevacuateMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nstallMs = 4000\n" +
		"requireFencing = true\nceilingWindowS = 5\nloadRateFactor = 1.1\nttl_max_s = 5\n")
	return b.String()
}

// start starts one process with the command of the deploy file.
func (s *system) start(d *daemon) error {
	d.dir = filepath.Join(s.dir, d.name)
	if err := os.MkdirAll(filepath.Join(d.dir, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(d.dir, "node.toml")
	if err := os.WriteFile(path, []byte(s.settings(d)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.binary, "platform", "--role="+d.role, "--metrics-port="+strconv.Itoa(portMetrics))
	cmd.Env = []string{"CROCUSWAY_BOOT=" + path, "CROCUSWAY_PEER_SECRET=" + peerSecret, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		err := cmd.Wait()
		s.rec.log("process %s ended: %v", d.name, err)
		close(done)
	}()
	d.bootstrap = false
	return nil
}

// stop ends every process and removes the folder.
func (s *system) stop() {
	s.fleet.close()
	for _, d := range s.daemons() {
		if d.cmd == nil {
			continue
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.log("logs in %s", s.dir)
	}
}

// startAll starts the daemons, publishes the configuration and waits until requests are served.
func (s *system) startAll(document func(version uint64) map[string]any) error {
	for _, d := range s.daemons() {
		if err := s.start(d); err != nil {
			return err
		}
	}
	s.version = 7
	if err := s.publish(document(s.version), 30*time.Second); err != nil {
		return err
	}
	return nil
}

// publish sends a configuration until it is acknowledged.
func (s *system) publish(document map[string]any, limit time.Duration) error {
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		status, _, err := call(http.MethodPost, s.controls[i%len(s.controls)].address(portControl), "/Config.Replace", raw, time.Second)
		if err == nil && status == http.StatusOK {
			s.rec.log("operator: configuration %v acknowledged", document["version"])
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v not acknowledged within %s", document["version"], limit)
}

// call makes one call on a connection of its own and follows two redirects.
func call(method, address, path string, body []byte, limit time.Duration) (status int, answer []byte, err error) {
	client := &http.Client{
		Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, answer, err
}

// leader returns the control daemon whose log says that it leads.
func (s *system) leader() (*daemon, error) {
	var newest *daemon
	var at string
	for _, c := range s.controls {
		raw, err := os.ReadFile(filepath.Join(c.dir, "log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, `msg="Role changed."`) && strings.Contains(line, "role=leader") && line[:30] > at {
				newest, at = c, line[:30]
			}
		}
	}
	if newest == nil {
		return nil, fmt.Errorf("no control daemon leads")
	}
	return newest, nil
}
