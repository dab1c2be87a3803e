// Command standin runs one scripted case of the review: it starts the daemons of the
// deploy file as processes on loopback, plays clients, servers and the operator, and
// checks one rule on what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun ends a case that hangs, before the limit of 120 s.
const maxRun = 112 * time.Second

// cases are the scripted cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"core-replacement": coreReplacement,
	"late-evacuation":  lateEvacuation,
	"first-start":      firstStart,
	"joined-twice":     joinedTwice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE, in the root of the repository")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, recordFile string, trouble bool) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitFailed
	}
	defer w.close()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-ended:
			w.record("interrupted")
		case <-time.After(maxRun):
			w.record("the case did not end in time")
		}
		w.close()
		os.Exit(exitFailed)
	}()
	w.record("case %s, trouble %t", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.record("RESULT: the case could not run: %v", err)
		return exitFailed
	case broken:
		w.record("RESULT: the rule was broken")
		return exitBroken
	}
	w.record("RESULT: the rule held")
	return exitHeld
}
