//go:build review

// Command standin-2 plays one case of the second review: it starts the daemons as processes,
// stands in for operators, clients and backend servers, and judges one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each is played with or without its disruption.
var scenarios = map[string]func(rec *record, trouble bool) error{
	"late-beat": lateBeat,
	"late-join": lateJoin,
	"silence":   silence,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	run := scenarios[os.Args[1]]
	rec, err := newRecord(os.Args[2])
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", os.Args[1], err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption %t", os.Args[1], trouble)
	err = run(rec, trouble)
	switch {
	case len(rec.broken) > 0:
		fmt.Println("the rule was broken:", rec.broken[0])
		os.Exit(exitBroken)
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
