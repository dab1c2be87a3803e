package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/recovery"
)

// recover runs "crocusway recover" on the data folder of a stopped process.
func (p *process) recover(args ...string) recovery.Report {
	p.t.Helper()
	cmd := exec.Command(binary, append([]string{"recover", "--json", "--data-dir", p.dataDir, "--name", p.name, "--operator", "amal"}, args...)...)
	out, err := output(cmd)
	require.NoError(p.t, err)
	var report recovery.Report
	require.NoError(p.t, json.Unmarshal(out, &report))
	return report
}

// votersOf counts the members that vote.
func votersOf(s api.StatusResponse) int {
	n := 0
	for _, v := range s.Voters {
		if v.Role != "learner" {
			n++
		}
	}
	return n
}

// TestLostMajorityIsRecovered loses two of three voters with their data
// folders. After a recovery the last one leads alone with the accepted
// configuration, and the other voters rejoin.
func TestLostMajorityIsRecovered(t *testing.T) {
	c := startCluster(t)
	c.serve(4)
	before := c.await("status", func(api.StatusResponse) bool { return true })
	for _, p := range c.processes[:3] {
		p.kill()
	}
	last := c.processes[2]
	for _, p := range c.processes[:2] {
		require.NoError(t, os.RemoveAll(p.dataDir))
	}
	require.False(t, last.recover().Applied)
	report := last.recover("--yes")
	require.True(t, report.Applied)
	require.Equal(t, []api.VoterID{"entry1", "entry2"}, report.Lost)
	last.start()
	c.await("the recovered voter leads", func(s api.StatusResponse) bool {
		return string(s.Leader) == last.name && s.View.Revision > before.View.Revision && len(s.View.ServingGroups) == 1
	})
	c.awaitAnswer()
	for _, p := range c.processes[:2] {
		p.start()
	}
	c.await("three voters and four entries", func(s api.StatusResponse) bool {
		return votersOf(s) == 3 && liveEntries(s) == 4 && readyGroups(s) == 4
	})
	last.kill()
	c.confirm(intent(3))
	c.awaitAnswer()
	c.requireNoOverload()
}
