package soak

import (
	"math/rand/v2"
	"time"
)

// Times of the platform that the daemons are configured with, or that bound them.
const (
	grace       = 8 * time.Second
	configApply = 2500 * time.Millisecond
	ackTime     = 5 * time.Second
	recovery    = 15 * time.Second
	lossSlack   = 200 * time.Millisecond
)

// action is one fault or planned change.
type action string

const (
	actionTerm    action = "term"     // SIGTERM, then a new start
	actionKill    action = "kill"     // SIGKILL, then a new start
	actionPause   action = "pause"    // SIGSTOP for the length
	actionSlow    action = "slow"     // an eighth of the processor time
	actionHup     action = "hup"      // SIGHUP
	actionWipe    action = "wipe"     // SIGKILL, and the data folder is lost
	actionKillAll action = "kill all" // SIGKILL of every control daemon at once
	actionCut     action = "cut"      // nothing passes between two daemons, both ways
	actionOneWay  action = "one way"  // nothing passes from one daemon to another
	actionIsolate action = "isolate"  // nothing passes to or from a daemon
	actionDelay   action = "delay"    // links of a daemon are slow
	actionReset   action = "reset"    // links of a daemon are reset
	actionFault   action = "fault"    // a backend server misbehaves
	actionDrain   action = "drain"    // a backend server leaves, a new one comes
	actionChange  action = "change"   // a new configuration
	actionLarge   action = "large"    // a configuration with many more routes
	actionRace    action = "race"     // two configurations at once
	actionInvalid action = "invalid"  // a configuration that is invalid
	actionZone    action = "zone"     // a failure domain is taken out for the length
	actionLimit   action = "limit"    // a backend server names a limit of its rate
	actionPoison  action = "poison"   // one part of prompts crashes the servers that run it
	actionLeave   action = "leave"    // a backend server says only in its answers that it leaves
	actionBusy    action = "busy"     // backend servers turn requests away and ask for a pause
	actionStorm   action = "storm"    // several configurations within seconds
	actionHalt    action = "halt"     // SIGSTOP for some 100 ms
	actionLeader  action = "leader"   // the control leader is out of reach
)

// event is one action of a lane. Random choices while it is carried out come from seed.
type event struct {
	At     time.Duration
	Action action
	Length time.Duration
	Seed   uint64
}

// lane is a series of events, of which one begins after the last has ended. Lanes run
// beside each other.
type lane struct {
	Name   string
	Role   string
	Part   Part
	Events []event
}

// mode selects the lanes of a run.
type mode string

// Modes of a run.
const (
	// modePlanned has planned work only, so stricter promises hold.
	modePlanned mode = "planned"
	modeSignals mode = "signals"
	modeLinks   mode = "links"
	modeAll     mode = "all"
	// modeStreams has long answers around planned work. No seed selects it.
	modeStreams mode = "streams"
)

// modeOf returns the mode of a seed.
func modeOf(seed uint64) mode {
	return [...]mode{modePlanned, modeSignals, modeLinks, modeAll}[seed%4]
}

// laneKind describes the lanes of one kind in a mode.
type laneKind struct {
	name, role string
	lanes      int
	actions    []action
	// gap is the mean pause between two events.
	gap time.Duration
	// part is the part of modeStreams that has the lanes.
	part Part
}

var (
	controlSignals = []action{actionKill, actionPause, actionTerm, actionSlow, actionWipe, actionKill, actionPause, actionKillAll}
	entrySignals   = []action{actionKill, actionPause, actionTerm, actionSlow, actionHup}
	linkFaults     = []action{actionCut, actionOneWay, actionIsolate, actionDelay, actionReset}
	changes        = []action{actionChange, actionChange, actionLarge, actionRace, actionInvalid, actionZone}
)

func laneKinds(m mode) []laneKind {
	operators := laneKind{name: "changes", lanes: 2, actions: changes, gap: 700 * time.Millisecond}
	drains := laneKind{name: "servers", lanes: 1, actions: []action{actionDrain}, gap: 2 * time.Second}
	faults := laneKind{name: "servers", lanes: 2, actions: []action{actionFault, actionFault, actionDrain}, gap: time.Second}
	control := laneKind{name: "control", role: roleControl, lanes: 1, actions: controlSignals, gap: 1500 * time.Millisecond}
	entries := laneKind{name: "entries", role: roleEntry, lanes: 2, actions: entrySignals, gap: 800 * time.Millisecond}
	links := laneKind{name: "links", lanes: 2, actions: linkFaults, gap: 700 * time.Millisecond}
	// New lanes come last, so that the others of a seed stay as they were.
	poison := laneKind{name: "poison", lanes: 1, actions: []action{actionPoison}, gap: 2 * time.Second}
	limits := laneKind{name: "limits", lanes: 1, actions: []action{actionLimit}, gap: time.Second}
	notices := laneKind{name: "notices", lanes: 1, actions: []action{actionLeave, actionBusy}, gap: 1500 * time.Millisecond}
	switch m {
	case modeStreams:
		return streamLanes()
	case modePlanned:
		return []laneKind{
			operators, drains,
			{name: "control", role: roleControl, lanes: 1, actions: []action{actionTerm, actionHup}, gap: time.Second},
			{name: "entries", role: roleEntry, lanes: 2, actions: []action{actionTerm, actionHup}, gap: time.Second},
			poison, limits, notices,
		}
	case modeSignals:
		return []laneKind{operators, drains, control, entries, poison, limits, notices}
	case modeLinks:
		links.lanes = 3
		return []laneKind{operators, faults, links, poison, limits, notices}
	}
	return []laneKind{operators, faults, control, entries, links, poison, limits, notices}
}

const (
	minEventLength = 200 * time.Millisecond
	maxEventLength = 3 * time.Second
)

// planOf returns the lanes of a seed in a mode.
func planOf(m mode, seed uint64, length time.Duration) []lane {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []lane
	for _, k := range laneKinds(m) {
		for range k.lanes {
			l := lane{Name: k.name, Role: k.role, Part: k.part}
			at := time.Duration(r.Int64N(int64(2 * k.gap)))
			for at < length {
				e := event{
					At: at, Action: k.actions[r.IntN(len(k.actions))],
					Length: minEventLength + time.Duration(r.Int64N(int64(maxEventLength-minEventLength))), Seed: r.Uint64(),
				}
				l.Events = append(l.Events, e)
				at += time.Duration(r.Int64N(int64(2*k.gap))) + e.Length
			}
			out = append(out, l)
		}
	}
	return out
}
