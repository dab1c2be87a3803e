// Package soak runs the real daemons as separate processes on loopback and injects
// faults from outside them: signals, lost data folders, a proxy between the daemons, and
// stand-in backend servers that misbehave. It checks what callers, operators and backend
// servers see. All faults of a run follow from its seed.
//
// Config.Streams selects a mode of its own: long answers around planned work, of which an
// entry must not cut one. The share of requests that were cut is counted by what surrounded
// them.
package soak
