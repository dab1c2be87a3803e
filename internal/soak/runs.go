package soak

import (
	"fmt"
	"strings"
)

// runPrefix begins the comment line with which an event names its run: the bytes of two runs are
// alike otherwise.
const runPrefix = ": run "

// runMark returns the line for the events of a run, which goes on behind an event.
func runMark(name string, after int) string {
	return fmt.Sprintf("%s%s after %d\n", runPrefix, name, after)
}

// withoutRuns returns a stream without the lines that name runs, and a description of the first
// place where a run does not go on behind the last event of the one before.
func withoutRuns(body string) (plain, joint string) {
	var b strings.Builder
	var last, mark string
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		line, rest, found := strings.Cut(event, "\n")
		if !found || !strings.HasPrefix(line, runPrefix) {
			// The caller got a part of an event, or none.
			b.WriteString(event)
			continue
		}
		_, after, _ := strings.Cut(line, " after ")
		if mark != "" && line != mark && after != last && joint == "" {
			joint = fmt.Sprintf("event %s of %q, then %q", last, mark, line)
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(rest, "id: "), "\n")
		last, mark = id, line
		b.WriteString(rest)
	}
	return b.String(), joint
}
