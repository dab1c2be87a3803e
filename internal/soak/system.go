package soak

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

var zones = []string{"z1", "z2", "z3"}

// ledgerServers is the number of plain backend servers.
const ledgerServers = 3

// system is the system under test with all that surrounds it.
type system struct {
	cfg     Config
	mode    mode
	oracle  *oracle
	network *network
	fleet   *fleet
	daemons []*daemon
	seeds   []string
	nextID  int
	mu      sync.Mutex
}

func (s *system) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+s.cfg.Network/250, s.cfg.Network%250, host)
}

// Hosts of the daemons and the stand-ins within the network.
const (
	hostServers  = 2
	hostControls = 10
	hostEntries  = 40
	maxEntries   = 200
)

func (s *system) build() error {
	if s.cfg.Entries > maxEntries || s.cfg.Controls > hostEntries-hostControls {
		return errors.Newf("entries = %d, controls = %d: at most %d and %d", s.cfg.Entries, s.cfg.Controls, maxEntries, hostEntries-hostControls)
	}
	add := func(role string, index, host int) {
		name := fmt.Sprintf("%s-%d", role, index+1)
		d := &daemon{
			name: name, role: role, ip: s.ip(host), zone: zones[index%len(zones)], dir: filepath.Join(s.cfg.Dir, name),
			binary: s.cfg.Binary, oracle: s.oracle, bootstrap: true,
		}
		if s.mode == modeStreams {
			d.retrySlack = streamRetrySlack
		}
		s.daemons = append(s.daemons, d)
	}
	for i := range s.cfg.Controls {
		add(roleControl, i, hostControls+i)
	}
	for _, d := range s.daemons[:min(3, len(s.daemons))] {
		s.seeds = append(s.seeds, d.address(portControl))
	}
	for i := range s.cfg.Entries {
		add(roleEntry, i, hostEntries+i)
	}
	for _, d := range s.daemons {
		if err := s.network.forward(d.address(portPeer), d.address(portListen)); err != nil {
			return err
		}
		if err := d.writeSettings(s.seeds); err != nil {
			return err
		}
	}
	return s.slowCallers()
}

func (s *system) startAll() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := s.addServers("engines", s.cfg.Engines, true); err != nil {
		return err
	}
	if err := s.addServers("ledger", ledgerServers, false); err != nil {
		return err
	}
	if !s.plays(PartVersions) {
		return nil
	}
	if err := s.addServers("engines"+spareSuffix, s.cfg.Engines/2, true); err != nil {
		return err
	}
	return s.addServers("ledger"+spareSuffix, ledgerServers, false)
}

func (s *system) addServers(service string, count int, engine bool) error {
	for i := range count {
		if err := s.addServer(service, zones[i%len(zones)], engine); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addServer(service, zone string, engine bool) error {
	s.mu.Lock()
	s.nextID++
	id := fmt.Sprintf("i-%04d", s.nextID)
	s.mu.Unlock()
	_, err := s.fleet.add(id, service, zone, s.ip(hostServers), engine)
	return err
}

func (s *system) stopAll() {
	var all sync.WaitGroup
	for _, role := range []string{roleEntry, roleControl} {
		for _, d := range s.daemons {
			if d.role == role && d.cmd != nil {
				all.Go(func() {
					d.signal(syscall.SIGCONT)
					d.terminate()
				})
			}
		}
		all.Wait()
	}
}

func (s *system) byRole(role string) []*daemon {
	var out []*daemon
	for _, d := range s.daemons {
		if d.role == role {
			out = append(out, d)
		}
	}
	return out
}

func (s *system) controls() []*daemon { return s.byRole(roleControl) }
func (s *system) entries() []*daemon  { return s.byRole(roleEntry) }
