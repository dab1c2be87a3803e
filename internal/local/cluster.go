package local

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/standin"
	"github.com/crocusway/crocusway/internal/standin/network"
)

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	// Dir holds the data folders and the logs. It must exist.
	Dir string
	// Program is the path of the binary, by default the running executable.
	Program string
	// Daemons is the number of entry daemons; the first Voters of them also run
	// the control role.
	Daemons int
	Voters  int
	// Domains are the failure domains, assigned to the daemons round-robin.
	Domains []api.FailureDomain
	Secrets Secrets
	// Settings are additional flags of "serve" for every daemon, by name.
	Settings map[string]string
	// Fleet configures the backend servers; its entries, token and domains are
	// overwritten.
	Fleet standin.Config
	// Operator is the operator name that the history records.
	Operator string
}

// Cluster is a complete system whose daemons run as separate processes, connected
// by a simulated network.
type Cluster struct {
	Daemons []*Process
	Network *network.Network
	Fleet   *standin.Fleet
	Client  *ctl.Client

	cfg  ClusterConfig
	logs []*os.File
}

// StartCluster bootstraps the daemons and starts the fleet. The caller must Close
// the cluster, also after an error.
func StartCluster(cfg ClusterConfig) (*Cluster, error) {
	c := &Cluster{cfg: cfg, Network: network.New()}
	if err := c.build(); err != nil {
		return c, err
	}
	for i, d := range c.Daemons {
		if i < cfg.Voters {
			d.Settings["bootstrap"] = "true"
		}
		if err := d.Start(); err != nil {
			return c, err
		}
		delete(d.Settings, "bootstrap")
	}
	c.Client = ctl.NewClient(c.Entries(), cfg.Secrets.Operator, cfg.Operator)
	return c, c.startFleet()
}

// build creates every daemon with its addresses, log and settings.
func (c *Cluster) build() error {
	addresses, err := FreeAddresses(2 * c.cfg.Daemons)
	if err != nil {
		return err
	}
	var voters []config.Voter
	members := make([]network.Member, c.cfg.Daemons)
	for i := range c.cfg.Daemons {
		d := &Process{Name: daemonName(i), Peer: addresses[2*i], Callers: addresses[2*i+1], Program: c.cfg.Program}
		c.Daemons = append(c.Daemons, d)
		if members[i], err = c.Network.Join(d.Name); err != nil {
			return err
		}
		c.Network.Connect(d.Name, d.Peer)
		if err = c.openLog(d); err != nil {
			return err
		}
		if i < c.cfg.Voters {
			voters = append(voters, config.Voter{ID: api.VoterID(d.Name), Address: members[i].Address})
		}
	}
	for i, d := range c.Daemons {
		c.configure(i, d, members[i], voters)
	}
	return nil
}

func (c *Cluster) openLog(d *Process) error {
	log, err := os.OpenFile(c.LogFile(d.Name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	c.logs = append(c.logs, log)
	d.Log = log
	return nil
}

func (c *Cluster) configure(i int, d *Process, m network.Member, voters []config.Voter) {
	roles := []config.Role{config.RoleEntry}
	if i < c.cfg.Voters {
		roles = []config.Role{config.RoleControl, config.RoleEntry}
	}
	d.Configure(c.cfg.Domains[i%len(c.cfg.Domains)], voters, c.cfg.Secrets, roles...)
	d.Settings["peer-source"] = m.Source
	d.Settings["peer-address"] = m.Address
	if i < c.cfg.Voters {
		d.Settings["data-dir"] = c.DataDir(d.Name)
	}
	for name, value := range c.cfg.Settings {
		d.Settings[name] = value
	}
}

func (c *Cluster) startFleet() error {
	fleet := c.cfg.Fleet
	fleet.Entries = c.Entries()
	fleet.Token = c.cfg.Secrets.Backend.Reveal()
	fleet.Domains = c.cfg.Domains
	started, err := standin.Start(fleet)
	c.Fleet = started
	return err
}

// LogFile returns the path of a daemon's log file.
func (c *Cluster) LogFile(name string) string { return filepath.Join(c.cfg.Dir, name+".log") }

// DataDir returns the data folder of a voter.
func (c *Cluster) DataDir(name string) string { return filepath.Join(c.cfg.Dir, name) }

// Entries returns the caller addresses of all daemons.
func (c *Cluster) Entries() []string {
	out := make([]string, 0, len(c.Daemons))
	for _, d := range c.Daemons {
		out = append(out, d.Callers)
	}
	return out
}

// LogTail returns at most the last limit bytes of a daemon's log.
func (c *Cluster) LogTail(name string, limit int) string {
	raw, err := os.ReadFile(c.LogFile(name))
	if err != nil {
		return fmt.Sprintf("read log: %v", err)
	}
	return string(raw[max(0, len(raw)-limit):])
}

// Close closes the fleet, kills every daemon and closes the network.
func (c *Cluster) Close() {
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	for _, d := range c.Daemons {
		d.Kill()
	}
	c.Network.Close()
	for _, log := range c.logs {
		_ = log.Close()
	}
}
