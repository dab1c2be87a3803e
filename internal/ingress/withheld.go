package ingress

import "cmp"

// withheldEvents are events that the caller does not get yet, as another run may still go on
// behind its last event.
type withheldEvents struct {
	// withheld holds events of the current server.
	withheld []byte
	// fallback holds events of a server that has failed since, up to the last one of
	// fallbackCount events of the stream. They are delivered unless another run goes on in
	// their place.
	fallback      []byte
	fallbackLast  string
	fallbackCount int
}

// withholds reports whether the current server has sent events that the caller does not get
// yet. It is false for the nil relay.
func (r *relay) withholds() bool { return r != nil && len(r.withheld) > 0 }

// withheldCount is the number of events that the caller does not get yet. It is 0 for the nil
// relay.
func (r *relay) withheldCount() int {
	switch {
	case r.withholds():
		return r.events.count - r.call.events
	case r != nil && len(r.fallback) > 0:
		return r.fallbackCount - r.call.events
	}
	return 0
}

// withhold adds the whole events of the current server that split appends.
func (r *relay) withhold(split func(dst []byte) ([]byte, error)) error {
	var err error
	r.withheld, err = split(r.withheld)
	return err
}

// settle decides about new events of the current server. While a challenger is under way, they
// are withheld until either run has shown that it goes on, or the caller waits no longer.
func (r *relay) settle() error {
	c := r.call
	switch ch := c.challenger; {
	case !r.withholds():
		return nil
	case ch == nil:
		r.deliver()
		return nil
	case !ch.isSent() || r.withheldCount() >= resumedEvents:
		r.dropChallenger(c)
		return nil
	}
	return r.seekTakeover(minPoll)
}

// deliver passes the events of the current server on to the caller, which follows that run from
// there on. No other run may be under way. It does nothing for the nil relay.
func (r *relay) deliver() {
	if !r.withholds() {
		return
	}
	r.pass(r.withheld, r.events.last, r.events.count)
	r.discardWithheld()
}

// keepFallback is called when the current server has failed. A caller without an event gets none
// of a failed run: the whole answer may still be that of another server. It does nothing for
// the nil relay.
func (r *relay) keepFallback() {
	switch {
	case r == nil:
	case r.call.status == 0:
		r.discardWithheld()
	case r.withholds():
		r.fallback, r.fallbackLast, r.fallbackCount = r.withheld, r.events.last, r.events.count
		r.withheld = nil
	}
}

// deliverFallback passes the events of the failed server on to the caller, as no other run is
// under way. It does nothing for the nil relay.
func (r *relay) deliverFallback() {
	if r != nil && len(r.fallback) > 0 {
		r.pass(r.fallback, r.fallbackLast, r.fallbackCount)
		r.discardWithheld()
	}
}

func (r *relay) discardWithheld() { r.withheld, r.fallback = r.withheld[:0], nil }

// restartEvents prepares for the answer of another server, which goes on behind the last event of
// the caller.
func (r *relay) restartEvents() {
	c := r.call
	r.events.restart(cmp.Or(c.lastEvent, c.head.LastEvent), c.events)
}

// pass appends events to what the caller gets, up to the given one.
func (r *relay) pass(events []byte, last string, count int) {
	c := r.call
	r.out = append(r.out, events...)
	if c.events == 0 && count > 0 {
		r.recordFirst(c)
	}
	c.events, c.lastEvent = count, last
	c.resetEventTimes()
}
