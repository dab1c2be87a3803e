package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testNetwork is the loopback network of the tests' daemons.
const testNetwork = 24_000

// buildBinary builds the binary under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "crocusway")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/crocusway").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// startDaemon builds the binary and starts one entry.
func startDaemon(t *testing.T, settings func(path string)) *daemon {
	t.Helper()
	dir, binary := t.TempDir(), buildBinary(t)
	s := &system{cfg: Config{Network: testNetwork + os.Getpid()%250}}
	d := &daemon{name: "entry-1", role: roleEntry, ip: s.ip(hostEntries), zone: zones[0], dir: dir, binary: binary, oracle: newOracle()}
	require.NoError(t, d.writeSettings([]string{d.address(portControl)}))
	if settings != nil {
		settings(filepath.Join(dir, "settings.toml"))
	}
	require.NoError(t, d.start())
	t.Cleanup(d.kill)
	return d
}

func requireNoFindings(t *testing.T, o *oracle) {
	t.Helper()
	findings, _ := o.result()
	require.Empty(t, findings)
}

func (d *daemon) hasLogged(text string) func() bool {
	return func() bool {
		raw, err := os.ReadFile(filepath.Join(d.dir, "log"))
		return err == nil && strings.Contains(string(raw), text)
	}
}

// TestSighupDuringStartupDoesNotEndTheProcess sends SIGHUP while the process waits for its
// settings file.
func TestSighupDuringStartupDoesNotEndTheProcess(t *testing.T) {
	var text []byte
	var path string
	d := startDaemon(t, func(p string) {
		var err error
		path = p
		text, err = os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.Remove(path))
		require.NoError(t, syscall.Mkfifo(path, 0o600))
	})
	// This returns once the process has opened the file.
	fifo, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	d.signal(syscall.SIGHUP)
	_, err = fifo.Write(text)
	require.NoError(t, err)
	require.NoError(t, fifo.Close())
	require.Eventually(t, d.hasLogged("msg=Started"), grace, 10*time.Millisecond)
	requireNoFindings(t, d.oracle)
}

// TestSighupDuringShutdownDoesNotEndTheProcess sends SIGHUP while an entry waits for callers
// that know its address.
func TestSighupDuringShutdownDoesNotEndTheProcess(t *testing.T) {
	d := startDaemon(t, nil)
	require.Eventually(t, d.hasLogged("msg=Started"), grace, 10*time.Millisecond)
	d.signal(syscall.SIGTERM)
	require.Eventually(t, d.hasLogged(`msg="Shutting down"`), grace, 10*time.Millisecond)
	d.signal(syscall.SIGHUP)
	<-d.ended()
	require.True(t, d.hasLogged("msg=Stopped")(), "the graceful shutdown was cut short")
}

// Two lanes stopped the same entry, one of them started it again, and the other killed the new
// process at the end of the grace of the old one.
func TestTerminateWaitsForTheProcessThatItSignaled(t *testing.T) {
	d := &daemon{name: "entry-1", role: roleEntry, oracle: newOracle(), done: make(chan struct{})}
	old, returned := d.done, make(chan struct{})
	go func() {
		d.terminate()
		close(returned)
	}()
	time.Sleep(2 * slowPeriod)
	d.mu.Lock()
	d.done = make(chan struct{})
	d.mu.Unlock()
	time.Sleep(2 * slowPeriod)
	close(old)
	select {
	case <-returned:
	case <-time.After(grace / 2):
		t.Fatal("still waits for the new process")
	}
	requireNoFindings(t, d.oracle)
}
