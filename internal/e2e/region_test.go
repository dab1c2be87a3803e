package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/region"
)

// smallRegion returns a region of one daemon, not yet started.
func smallRegion(t *testing.T, name string, addresses []string) *process {
	t.Helper()
	dir := t.TempDir()
	d := &local.Process{Name: name, Peer: addresses[0], Callers: addresses[1], Program: binary}
	voter := config.Voter{ID: api.VoterID(name), Address: d.Peer}
	d.Configure(api.FailureDomain(name), []config.Voter{voter}, secrets(), config.RoleControl, config.RoleEntry)
	d.Settings["data-dir"] = dir
	d.Settings["bootstrap"] = "true"
	return &process{Process: d, t: t, name: name, callers: d.Callers, dataDir: dir}
}

// regionClient runs "crocusway ctl region" in a folder that holds its files.
type regionClient struct {
	t   *testing.T
	dir string
}

func (c *regionClient) run(result any, args ...string) error {
	cmd := exec.Command(binary, append([]string{"ctl", "region"}, args...)...)
	cmd.Dir = c.dir
	cmd.Env = []string{"CROCUSWAY_OPERATOR_TOKEN=" + operatorToken}
	out, err := output(cmd)
	if err != nil {
		return err
	}
	return json.Unmarshal(out, result)
}

func (c *regionClient) write(file string, v any) {
	c.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(filepath.Join(c.dir, file), data, 0o600))
}

// await repeats a subcommand until its result meets the condition.
func (c *regionClient) await(change *region.Change, condition func(region.Change) bool, args ...string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		var next region.Change
		if c.run(&next, args...) != nil {
			return false
		}
		*change = next
		return condition(next)
	}, waitTimeout, pollInterval, "%v", args)
}

// TestChangeReachesRegionsOneByOne plans and confirms a change while one region
// is down. The other region accepts it; the missing one gets it once it is up.
func TestChangeReachesRegionsOneByOne(t *testing.T) {
	free, err := local.FreeAddresses(4)
	require.NoError(t, err)
	near, far := smallRegion(t, "delta", free[:2]), smallRegion(t, "oasis", free[2:])
	near.start()
	client := &regionClient{t: t, dir: t.TempDir()}
	client.write("regions.json", region.Regions{Regions: []region.Region{
		{Name: "delta", Entries: []string{near.callers}}, {Name: "oasis", Entries: []string{far.callers}},
	}})
	client.write("intent.json", region.Intent{Shared: api.Intent{
		Accounts: []api.Account{{ID: "counter", KeyHashes: []string{keyHash()}, Class: 5, Share: 8}},
	}})
	states := func(near, far region.State) func(region.Change) bool {
		return func(c region.Change) bool { return c.Steps[0].State == near && c.Steps[1].State == far }
	}
	var change region.Change
	require.Eventually(t, func() bool { return client.run(&change, "plan", "--json", "-f", "intent.json") == nil }, waitTimeout, pollInterval)
	client.await(&change, states(region.Planned, region.Pending), "plan", "--json")
	client.await(&change, states(region.Accepted, region.Pending), "confirm", "--json")

	far.start()
	client.await(&change, states(region.Accepted, region.Planned), "plan", "--json")
	client.await(&change, states(region.Accepted, region.Accepted), "confirm", "--json")
	var overview region.Overview
	require.NoError(t, client.run(&overview, "status", "--json"))
	require.Empty(t, overview.Differences)
	require.True(t, overview.Regions[0].Reached && overview.Regions[1].Reached)
	client.await(&change, states(region.Accepted, region.Accepted), "confirm", "--json")
}
