// Package hangup receives SIGHUP from the initialization of the program on: unhandled, the
// signal ends the process, and the time until main runs is long on a small host.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP until Reset. One signal is kept.
var Signals = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Reset restores the default, the end of the process, for commands that don't reload.
func Reset() { signal.Reset(syscall.SIGHUP) }
