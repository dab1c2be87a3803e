package daemon

import (
	"runtime"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/shard"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// Dump is a snapshot of the state of a process. It holds no secrets.
type Dump struct {
	Name       string           `json:"name"`
	Roles      []config.Role    `json:"roles"`
	Settings   []config.Setting `json:"settings"`
	Uptime     string           `json:"uptime"`
	Goroutines int              `json:"goroutines"`
	// Process is zero if the usage can't be read.
	Process telemetry.ProcessUsage `json:"process"`
	Leader  string                 `json:"leader"`
	Links   peer.Stats             `json:"links"`
	Control *ControlDump           `json:"control,omitempty"`
	Entry   *EntryDump             `json:"entry,omitempty"`
}

// ControlDump is the state of a voter.
type ControlDump struct {
	Log     consensus.Status `json:"log"`
	Service control.Dump     `json:"service"`
}

// EntryDump is the state of an entry.
type EntryDump struct {
	MayWork bool         `json:"may_work"`
	Leaving bool         `json:"leaving"`
	View    api.View     `json:"view"`
	Shards  []shard.Dump `json:"shards"`
}

// Dump returns the state of the process.
func (d *Daemon) Dump() Dump {
	usage, _ := telemetry.ReadProcessUsage()
	dump := Dump{
		Name:       d.cfg.Name,
		Roles:      d.cfg.Roles,
		Settings:   d.cfg.Describe(),
		Uptime:     time.Since(d.started).Round(time.Second).String(),
		Goroutines: runtime.NumGoroutine(),
		Process:    usage,
		Leader:     d.leader.Leader(),
		Links:      d.node.Stats(),
	}
	if d.control != nil {
		dump.Control = &ControlDump{Log: d.control.log.Status(), Service: d.control.service.Dump()}
	}
	if d.entry != nil {
		dump.Entry = d.entry.dump()
	}
	return dump
}

func (r *entryRole) dump() *EntryDump {
	return &EntryDump{
		MayWork: r.state.MayWork(),
		Leaving: r.state.Leaving(),
		View:    r.state.Snapshot().View,
		Shards:  r.shards.Dump(),
	}
}
