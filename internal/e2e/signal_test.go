package e2e

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/local"
)

// TestSighupDuringStartupDoesNotEndTheProcess sends SIGHUP while the process waits for its
// settings file.
func TestSighupDuringStartupDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(binary, "platform", "--role=entry", "--settings="+path)
	cmd.Env = []string{"CROCUSWAY_PEER_SECRET=a secret of the tests"}
	require.NoError(t, cmd.Start())
	// This returns once the process has opened the file.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("nodeName = 7")
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	var exit *exec.ExitError
	require.ErrorAs(t, cmd.Wait(), &exit)
	require.Equal(t, 1, exit.ExitCode(), "it ends over its invalid settings, not by the signal: %v", exit)
}

// TestSighupDuringShutdownDoesNotEndTheProcess sends SIGHUP while an entry waits for callers
// that know its address.
func TestSighupDuringShutdownDoesNotEndTheProcess(t *testing.T) {
	addresses, err := local.FreeAddresses(5)
	require.NoError(t, err)
	peer, err := netip.ParseAddrPort(addresses[0])
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.toml")
	settings := fmt.Sprintf("nodeName = \"e\"\nip = %q\nzone = \"z\"\ninternalPorts = [%d]\nseeds = [%q]\n"+
		"[listen]\nfront = %q\nready = %q\ndirectory = %q\n[bounds]\ngraceS = 3\n",
		peer.Addr(), peer.Port(), addresses[1], addresses[2], addresses[3], addresses[4])
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(binary, "platform", "--role=entry", "--settings="+path)
	cmd.Env = []string{"CROCUSWAY_PEER_SECRET=a secret of the tests"}
	output, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(output)
	await := func(text string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the process ended before it logged %q", text)
	}
	await("msg=Started")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	await(`msg="Shutting down"`)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	await("msg=Stopped")
	require.NoError(t, cmd.Wait())
}
