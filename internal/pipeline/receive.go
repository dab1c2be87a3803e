package pipeline

import (
	"context"
	"strconv"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// receive sets the deadline and the view of the call, and refuses it when this
// entry takes no new work. A leaving entry also returns the list of entries.
type receive struct{ *Server }

func (f receive) apply(c *call) error {
	c.snapshot = f.cfg.State.Snapshot()
	c.received = f.cfg.Clock.Now()
	c.domainChanging = f.cfg.State.DomainChanging()
	c.body = c.http.PostBody()
	timeout, err := f.timeout(c)
	if err != nil {
		return err
	}
	c.deadline = c.received.Add(timeout)
	c.ctx, c.cancel = context.WithTimeout(context.Background(), timeout)
	f.budget.earn()
	if f.isLeaving(c) {
		r := unavailable("entry_leaving", "this entry takes no new work", nil)
		r.handOver = true
		return r
	}
	if !f.cfg.State.MayWork() {
		return unavailable("no_work_lease", "this entry has no work lease", nil)
	}
	return nil
}

// isLeaving reports whether this entry or its failure domain is leaving.
func (f receive) isLeaving(c *call) bool {
	return f.cfg.State.Leaving() || c.snapshot.Drained(f.cfg.Self.Domain)
}

// timeout returns the time limit of the request: the setting, or less if the
// caller asks for it.
func (f receive) timeout(c *call) (time.Duration, error) {
	limit := f.cfg.Settings.RequestTimeout
	header := c.http.Request.Header.Peek(api.HeaderDeadlineMillis)
	if len(header) == 0 {
		return limit, nil
	}
	millis, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || millis < 1 {
		return 0, invalidField(api.HeaderDeadlineMillis, quote(header), "a number of milliseconds, at least 1")
	}
	if millis >= limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// maxQuoted bounds how much of an invalid value an error repeats, in bytes.
const maxQuoted = 64

// quote quotes an invalid value for an error message, cut to maxQuoted bytes.
func quote(value []byte) string {
	if len(value) > maxQuoted {
		return strconv.Quote(string(value[:maxQuoted])) + "..."
	}
	return strconv.Quote(string(value))
}
