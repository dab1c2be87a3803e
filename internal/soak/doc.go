// Package soak runs the real daemons as separate processes on loopback and injects
// faults from outside them: signals, lost data folders, a proxy between the daemons, and
// stand-in backend servers that misbehave. It checks what callers, operators and backend
// servers see. All faults of a run follow from its seed.
package soak
