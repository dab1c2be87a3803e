//go:build crowd

// Package crowd tests that callers which stay within no limit neither end a daemon nor
// exhaust the memory and the descriptors of its host. The daemons run as processes on
// loopback addresses with small limits. Run its tests apart from other load:
//
//	make crowd
package crowd

import (
	"bufio"
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
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// memoryLimit is the memory of a daemon's host in MiB, and descriptorLimit what its
	// process may open.
	memoryLimit     = 128
	descriptorLimit = 600
	// Limits of the configuration for one request: in bytes, and milliseconds.
	maxHeader     = 16 << 10
	maxBody       = 4 << 20
	headerTimeout = 3000
	idleTimeout   = 15000

	// wait bounds every wait of these tests; it is no measure of speed.
	wait = 60 * time.Second
	poll = 50 * time.Millisecond

	host       = "a.example"
	key        = "k1"
	instanceID = "i-1"
	peerSecret = "a secret of the crowd"

	portPeer      = 17340
	portForward   = portPeer + 1
	portFront     = 18227
	portDirectory = 18228
	portControl   = 18229
	portReady     = 18230
	portMetrics   = 19464
)

// binary is the path of the program under test, built once, without the race detector:
// that multiplies its memory.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusway-crowd-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "crocusway")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/crocusway").CombinedOutput()
	if err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// daemon is one process under test.
type daemon struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

func startDaemon(t *testing.T, name string, env []string, args ...string) *daemon {
	t.Helper()
	d := &daemon{t: t, name: name, exited: make(chan struct{})}
	var err error
	d.log, err = os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit)
	d.cmd = exec.Command("/bin/sh", append([]string{"-c", limited, binary}, args...)...)
	d.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, d.logTail())
		}
		_ = d.log.Close()
	})
	return d
}

// logTail returns the end of the daemon's log.
func (d *daemon) logTail() string {
	const size = 3000
	raw, _ := os.ReadFile(d.log.Name())
	return string(raw[max(0, len(raw)-size):])
}

// check fails the test unless the daemon runs, and has stayed below its limits.
func (d *daemon) check() {
	d.t.Helper()
	select {
	case <-d.exited:
		d.t.Fatalf("%s has ended: %v", d.name, d.cmd.ProcessState)
	default:
	}
	peak := d.peakMemory()
	d.t.Logf("%s: at most %d MiB, now %d descriptors", d.name, peak, d.descriptors())
	require.LessOrEqual(d.t, peak, memoryLimit, "peak memory of %s in MiB", d.name)
	require.LessOrEqual(d.t, d.descriptors(), descriptorLimit, "open descriptors of %s", d.name)
}

// limitDescriptors lowers or raises what the daemon may open.
func (d *daemon) limitDescriptors(n uint64) {
	require.NoError(d.t, unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: descriptorLimit}, nil))
}

// peakMemory is the largest resident memory so far in MiB.
func (d *daemon) peakMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	require.NoError(d.t, err)
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	require.True(d.t, found, "%s has ended", d.name)
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(d.t, err)
	return kib >> 10
}

func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	require.NoError(d.t, err)
	return len(entries)
}

// system is a control daemon, an entry and a stand-in backend server.
type system struct {
	t       *testing.T
	net     string
	control *daemon
	entry   *daemon
	server  *server
}

func (s *system) address(n, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, n, port) }

// Numbers of the addresses of the daemons.
const (
	hostControl = 1
	hostEntry   = 11
	hostServer  = 21
)

func (s *system) front() string     { return s.address(hostEntry, portFront) }
func (s *system) directory() string { return s.address(hostEntry, portDirectory) }
func (s *system) ready() string     { return s.address(hostEntry, portReady) }
func (s *system) forward() string   { return s.address(hostEntry, portForward) }
func (s *system) metrics() string   { return s.address(hostEntry, portMetrics) }
func (s *system) operator() string  { return s.address(hostControl, portControl) }

// newSystem starts a system that serves requests.
func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, net: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))}
	s.control = s.start("core-1", "control", hostControl)
	s.entry = s.start("front-1", "entry", hostEntry)
	s.server = newServer(t, s)
	require.Eventually(t, func() bool {
		status, _, err := call(http.MethodPost, "http://"+s.operator()+"/Config.Replace", document())
		return err == nil && status == http.StatusOK
	}, wait, poll, "the configuration is acknowledged")
	require.Eventually(t, s.isServed, wait, poll, "a request is served")
	s.entry.check()
	s.control.check()
	return s
}

func (s *system) start(name, role string, n int) *daemon {
	dir := s.t.TempDir()
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nip = \"%s.%d\"\nzone = \"z1\"\ninternalPorts = [%d,%d]\nseeds = [%q]\nheartbeatMs = 300\nbootstrap = true\ndataDir = %q\n",
		name, s.net, n, portPeer, portPeer+9, s.operator(), filepath.Join(dir, "data"))
	if role == "control" {
		fmt.Fprintf(&b, "[listen]\ncontrol = %q\n", s.operator())
	} else {
		fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ndirectory = %q\n", s.front(), s.ready(), s.directory())
	}
	fmt.Fprintf(&b, "[limits]\nmemoryMb = %d\nmaxFds = %d\n", memoryLimit, descriptorLimit)
	b.WriteString("[bounds]\ndrainMs = 300\ngraceS = 4\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 100\nttl_max_s = 5\nconfigApplyMs = 2000\n")
	require.NoError(s.t, os.Mkdir(filepath.Join(dir, "data"), 0o700))
	settings := filepath.Join(dir, "settings.toml")
	require.NoError(s.t, os.WriteFile(settings, []byte(b.String()), 0o600))
	return startDaemon(s.t, name, []string{"CROCUSWAY_PEER_SECRET=" + peerSecret},
		"platform", "--role="+role, "--settings="+settings, "--metrics-port="+strconv.Itoa(portMetrics))
}

// document is the configuration of the system.
func document() []byte {
	return []byte(fmt.Sprintf(`{"version":3,"routes":[{"name":"r","host":%q,"pathPrefix":"/x/","kind":"safe","timeoutMs":20000,
 "targetLatencyMs":300,"service":"s1","maxAttempts":2}],"services":[{"name":"s1","healthPath":"/health","maxConns":400}],
 "limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d},"tenants":[{"name":"shop","apiKeys":[%q]}]}`,
		host, maxHeader, maxBody, headerTimeout, idleTimeout, key))
}

// isServed sends an ordinary request and reports whether it is answered.
func (s *system) isServed() bool {
	status, body, err := call(http.MethodPost, "http://"+s.front()+"/x/1", []byte("ordinary"),
		"Host", host, "X-Crocusway-Request-Id", newID(), "X-Crocusway-Credential", key, "X-Crocusway-Deadline-Ms", "2000")
	return err == nil && status == http.StatusOK && string(body) == answer(len("ordinary"))
}

// call makes one HTTP call on a connection of its own.
func call(method, url string, body []byte, header ...string) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	if name := request.Header.Get("Host"); name != "" {
		request.Host = name
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

var ids struct {
	sync.Mutex
	next int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.next++
	return "r" + strconv.Itoa(ids.next)
}

// server is a stand-in for a backend server.
type server struct {
	address string
	mu      sync.Mutex
	// seen are the ids of the requests that it has received.
	seen map[string]bool
}

func newServer(t *testing.T, s *system) *server {
	ln, err := net.Listen("tcp", s.address(hostServer, 0))
	require.NoError(t, err)
	e := &server{address: ln.Addr().String(), seen: make(map[string]bool)}
	stop := make(chan struct{})
	web := &http.Server{Handler: e, ReadHeaderTimeout: wait, MaxHeaderBytes: 1 << 20}
	var running sync.WaitGroup
	running.Go(func() { _ = web.Serve(ln) })
	running.Go(func() { e.heartbeats(s, stop) })
	t.Cleanup(func() {
		close(stop)
		_ = web.Close()
		running.Wait()
	})
	return e
}

// largeAnswer is the path of requests with an answer of largeAnswerBytes, much more than
// the kernel buffers for a caller that does not read.
const (
	largeAnswer      = "/x/large"
	largeAnswerBytes = 12 << 20
)

// answer is what the server answers to a body of this length.
func answer(length int) string { return fmt.Sprintf("read %d bytes", length) }

func (e *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Crocusway-Instance-Id", instanceID)
		return
	}
	id := r.Header.Get("X-Crocusway-Request-Id")
	e.mu.Lock()
	e.seen[id] = true
	e.mu.Unlock()
	n, _ := io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Crocusway-Request-Id", id)
	w.Header().Set("X-Crocusway-Response-Seal", "s")
	if r.URL.Path == largeAnswer {
		_, _ = w.Write(make([]byte, largeAnswerBytes))
		return
	}
	_, _ = io.WriteString(w, answer(int(n)))
}

func (e *server) received(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[id]
}

func (e *server) heartbeats(s *system, stop chan struct{}) {
	born := time.Now().UnixMilli()
	ticker := time.NewTicker(300 * time.Millisecond)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		raw, _ := json.Marshal(map[string]any{
			"service": "s1", "address": e.address, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
			"sequence": sequence, "born": born,
		})
		_, _, _ = call(http.MethodPost, "http://"+s.operator()+"/Instances.Heartbeat/"+instanceID, raw)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// client is one connection of a crowd. It stays open until the end of its test.
type client struct {
	net.Conn
	id string
}

// send writes all of p, or as much as the daemon takes.
func (c *client) send(p []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(wait / 4))
	_, err := c.Write(p)
	return err == nil
}

// status reads an answer and returns its status, or 0 if the connection is closed.
func (c *client) status(r *bufio.Reader) int {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// isClosed waits until the daemon has closed the connection.
func (c *client) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.Copy(io.Discard, c.Conn)
	return err == nil || !os.IsTimeout(err)
}

// gather opens n connections to an address and plays each of them. The connections stay
// open until the test ends.
func gather(t *testing.T, address string, n int, play func(c *client)) []*client {
	t.Helper()
	var mu sync.Mutex
	var crowd []*client
	var playing sync.WaitGroup
	for range n {
		playing.Go(func() {
			conn, err := net.DialTimeout("tcp", address, wait/4)
			if err != nil {
				return
			}
			c := &client{Conn: conn, id: newID()}
			mu.Lock()
			crowd = append(crowd, c)
			mu.Unlock()
			play(c)
		})
	}
	playing.Wait()
	t.Cleanup(func() { disperse(crowd) })
	return crowd
}

// disperse closes the connections of a crowd.
func disperse(crowd []*client) {
	for _, c := range crowd {
		_ = c.Close()
	}
}

// withstands plays a crowd and checks that the daemon stays within its limits and answers
// an ordinary call, while the crowd stays and once it has left.
func withstands(t *testing.T, d *daemon, address string, n int, isAnswered func() bool, play func(c *client)) {
	t.Helper()
	crowd := gather(t, address, n, play)
	d.check()
	d.awaitAnswer(isAnswered, "beside the crowd")
	d.check()
	disperse(crowd)
	d.awaitAnswer(isAnswered, "after the crowd")
	d.check()
}

// awaitAnswer waits until an ordinary call is answered, or the daemon ends.
func (d *daemon) awaitAnswer(isAnswered func() bool, when string) {
	d.t.Helper()
	answered := false
	require.Eventually(d.t, func() bool {
		select {
		case <-d.exited:
			return true
		default:
			answered = isAnswered()
			return answered
		}
	}, wait, poll, "an ordinary call is answered %s", when)
	if !answered {
		d.check()
	}
}

// head returns a request head with further lines and without its end.
func (c *client) head(lines string) string {
	return "POST /x/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Crocusway-Request-Id: " + c.id + "\r\nX-Crocusway-Credential: " + key +
		"\r\nX-Crocusway-Deadline-Ms: 15000\r\n" + lines
}
