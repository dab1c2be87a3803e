package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/standin"
	"github.com/crocusway/crocusway/internal/standin/network"
)

const (
	peerSecret    = "e2e-peer-secret-0001"
	operatorToken = "e2e-operator-token-1"
	backendToken  = "e2e-backend-token-01"
	apiKey        = "e2e-counter-key"
	model         = "scribe"
	service       = "ledger"
	// waitTimeout bounds every wait of these tests; it is no measure of speed.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds one call, so that a frozen entry does not block it.
	callTimeout = 5 * time.Second
	// clusterEntries is the number of daemons; each listens on two addresses.
	clusterEntries   = 4
	clusterAddresses = 2 * clusterEntries
	// logTail is how much of each process's log a failed test prints, in bytes.
	logTail = 4 << 10
)

var domains = []api.FailureDomain{"cairo", "alexandria", "tanta"}

// binary is the path of the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusway-e2e-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "crocusway")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "../../cmd/crocusway").CombinedOutput()
	if err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one daemon.
type process struct {
	*local.Process
	t       *testing.T
	name    string
	callers string
	dataDir string
}

// cluster is 3 voters that are entries too, 1 more entry, and stand-ins for
// backend servers.
type cluster struct {
	t         *testing.T
	local     *local.Cluster
	processes []*process
	network   *network.Network
	// replicas is the number of replicas that serve requested.
	replicas int
	fleet    *standin.Fleet
	client   *ctl.Client
	caller   *caller.Client
}

// output runs a command and returns its standard output.
func output(cmd *exec.Cmd) ([]byte, error) {
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := local.StartCommand(cmd); err != nil {
		return nil, err
	}
	err := cmd.Wait()
	return out.Bytes(), err
}

// clusterSlots bounds the clusters that run at the same time, because their
// processes run with the race detector.
var clusterSlots = make(chan struct{}, 2)

// TestFreeAddressesDiffer checks that the addresses of many clusters are
// distinct.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		addresses, err := local.FreeAddresses(clusterAddresses)
		require.NoError(t, err)
		for _, a := range addresses {
			require.False(t, seen[a], "address %s twice", a)
			seen[a] = true
		}
	}
}

func startCluster(t *testing.T, services ...standin.Service) *cluster {
	t.Helper()
	return startClusterWith(t, nil, services...)
}

// startClusterWith starts the processes with additional settings.
func startClusterWith(t *testing.T, settings map[string]string, services ...standin.Service) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t}
	var err error
	c.local, err = local.StartCluster(c.config(settings, services))
	t.Cleanup(c.local.Close)
	t.Cleanup(c.printLogs)
	require.NoError(t, err)
	c.network, c.fleet, c.client = c.local.Network, c.local.Fleet, c.local.Client
	for _, d := range c.local.Daemons {
		c.processes = append(c.processes, &process{Process: d, t: t, name: d.Name, callers: d.Callers, dataDir: c.local.DataDir(d.Name)})
	}
	c.caller = caller.New(apiKey, c.addresses())
	c.await("4 live entries and all hosts", func(s api.StatusResponse) bool {
		return liveEntries(s) == 4 && len(s.Hosts) == len(c.fleet.Hosts())
	})
	return c
}

func secrets() local.Secrets {
	return local.Secrets{Peer: peerSecret, Operator: operatorToken, Backend: backendToken}
}

func (c *cluster) config(settings map[string]string, services []standin.Service) local.ClusterConfig {
	// While other tests load the processors, the announcements of the stand-in
	// hosts may be delayed for longer than the default detection bound.
	all := map[string]string{"pause-grace": "1s", "detection-bound": "8s", "snapshot-bytes": "65536"}
	maps.Copy(all, settings)
	return local.ClusterConfig{
		Dir: c.t.TempDir(), Program: binary, Daemons: clusterEntries, Voters: 3, Domains: domains,
		Secrets: secrets(), Settings: all, Operator: "amal",
		Fleet: standin.Config{
			Fabrics:        3,
			HostsPerFabric: 5,
			Engine:         standin.Engine{ChecksFencing: true, Capabilities: standin.AllCapabilities},
			Services:       append([]standin.Service{{Name: service, PerDomain: 1}}, services...),
		},
	}
}

func (c *cluster) addresses() []string { return c.local.Entries() }

// start starts the process, for the first time or again.
func (p *process) start() {
	p.t.Helper()
	require.NoError(p.t, p.Start())
	p.t.Cleanup(p.kill)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.Signal(s))
}

// kill ends the process at once, even if it is frozen.
func (p *process) kill() { p.Kill() }

// printLogs prints the end of each process's log if the test failed.
func (c *cluster) printLogs() {
	if !c.t.Failed() {
		return
	}
	for _, d := range c.local.Daemons {
		c.t.Logf("%s:\n%s", d.Name, c.local.LogTail(d.Name, logTail))
	}
}

// await polls the leader's status until the condition is met.
func (c *cluster) await(what string, condition func(api.StatusResponse) bool) api.StatusResponse {
	c.t.Helper()
	var status api.StatusResponse
	require.Eventually(c.t, func() bool {
		s, err := c.client.Status()
		if err != nil || !condition(s) {
			return false
		}
		status = s
		return true
	}, waitTimeout, pollInterval, what)
	return status
}

func (c *cluster) leader() *process {
	c.t.Helper()
	status := c.await("leader", func(s api.StatusResponse) bool { return s.Leader != "" })
	return c.process(string(status.Leader))
}

func (c *cluster) process(name string) *process {
	for _, p := range c.processes {
		if p.name == name {
			return p
		}
	}
	c.t.Fatalf("no process %q", name)
	return nil
}

func keyHash() string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

func intent(replicas int) api.Intent {
	in := api.Intent{
		ServingGroups: []api.ServingGroup{{Name: model, Model: model, Replicas: replicas, HostsPerReplica: 2, ChecksFencing: true, LoadBytes: 1 << 20}},
		Accounts:      []api.Account{{ID: "counter", KeyHashes: []string{keyHash()}, Class: 5, Share: 8}},
		Services:      []api.Service{{Name: service}},
	}
	for _, d := range domains {
		in.Domains = append(in.Domains, api.Domain{Name: d, State: api.DomainActive})
	}
	return in
}

// confirm plans and confirms an intent, and retries until both are accepted.
func (c *cluster) confirm(in api.Intent) api.DecideResponse {
	c.t.Helper()
	var decision api.DecideResponse
	require.Eventually(c.t, func() bool {
		plan, err := c.client.Plan(in)
		if err != nil {
			return false
		}
		decision, err = c.client.Decide(plan.ID, true, 10*time.Second)
		return err == nil
	}, waitTimeout, pollInterval, "confirm")
	return decision
}

// serve confirms the intent and waits until all replicas are ready and calls
// are answered.
func (c *cluster) serve(replicas int) {
	c.t.Helper()
	c.replicas = replicas
	c.confirm(intent(replicas))
	c.await("ready replicas", func(s api.StatusResponse) bool { return readyGroups(s) == replicas })
	c.awaitAnswer()
}

func (c *cluster) awaitAnswer() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		answer, err := c.caller.Chat(ctx, model, "hello", 4)
		return err == nil && answer.IsComplete()
	}, waitTimeout, pollInterval, "complete answer")
}

func liveEntries(s api.StatusResponse) int {
	n := 0
	for _, e := range s.View.Entries {
		if e.Live && !e.Leaving {
			n++
		}
	}
	return n
}

func readyGroups(s api.StatusResponse) int {
	n := 0
	for _, g := range s.View.Groups {
		if g.Phase == api.GroupReady {
			n++
		}
	}
	return n
}
