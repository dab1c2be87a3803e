package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoticesAreChecked plays entries that keep what a server has told them, and entries that
// don't.
func TestNoticesAreChecked(t *testing.T) {
	told := time.Now()
	after := told.Add
	leaving := func() *toldEntry { return &toldEntry{leavingAt: told} }
	paused := func() *toldEntry { return &toldEntry{pausedAt: told, pausedUntil: after(4 * time.Second)} }
	late := drainTime + drainSlack + time.Millisecond
	for name, c := range map[string]struct {
		known    *toldEntry
		started  time.Time
		arrivals []time.Duration
		found    string
	}{
		"nothing told":              {&toldEntry{}, time.Time{}, []time.Duration{late, late, late}, ""},
		"in time":                   {leaving(), time.Time{}, []time.Duration{drainTime}, ""},
		"too late":                  {leaving(), time.Time{}, []time.Duration{late}, "DRAIN"},
		"too late, restarted":       {leaving(), after(time.Second), []time.Duration{late}, ""},
		"at once and two":           {paused(), time.Time{}, []time.Duration{0, pauseSlack, pauseSlack, time.Second, 2 * time.Second}, ""},
		"three in a pause":          {paused(), time.Time{}, []time.Duration{time.Second, time.Second, 2 * time.Second}, "BUDGET"},
		"three in it and restarted": {paused(), after(time.Second / 2), []time.Duration{time.Second, time.Second, 2 * time.Second}, ""},
		"after a pause":             {paused(), time.Time{}, []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOracle()
			s, d := &server{fleet: newFleet(o, nil), id: "i-1"}, &daemon{name: "entry-1", started: c.started}
			for _, at := range c.arrivals {
				o.requests["r"] = &request{kind: kindSafe, sent: after(at)}
				c.known.check(s, d, "r", after(at))
			}
			findings, _ := o.result()
			if c.found == "" {
				require.Empty(t, findings)
				return
			}
			require.Len(t, findings, 1)
			require.Contains(t, findings[0], c.found)
		})
	}
}
