package ingress

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// eventSplitter splits a stream of server-sent events into whole events and drops those
// that were forwarded before.
type eventSplitter struct {
	// pending holds the bytes after the last whole event.
	pending []byte
	// last is the id of the newest event that was forwarded.
	last string
	// count is the number of forwarded events that have an id.
	count int
	// numbered is set for streams whose events have ids. Others are then no sign of
	// progress, and wait in held for the next one with an id.
	numbered bool
	held     []byte
	// received counts the whole events received, those forwarded before included.
	received int
	// scanned is the part of pending that holds no end of an event.
	scanned int
}

var errEventTooLarge = errors.New("the bytes between two events exceed the limit")

// feed takes bytes of the stream and appends the events that they complete to dst.
func (e *eventSplitter) feed(dst, part []byte) ([]byte, error) {
	e.pending = append(e.pending, part...)
	rest, scanned := e.pending, e.scanned
	for {
		end := eventEnd(rest, scanned)
		if end < 0 {
			break
		}
		dst = e.appendEvent(dst, rest[:end])
		rest, scanned = rest[end:], 0
	}
	if len(rest) < len(e.pending) {
		e.pending = append(e.pending[:0], rest...)
	}
	e.scanned = max(0, len(rest)-longestEventEnd)
	if len(e.pending)+len(e.held) > maxEventBytes {
		return dst, errEventTooLarge
	}
	return dst, nil
}

// longestEventEnd is the size of the end of an event, which may arrive in parts.
const longestEventEnd = len("\n\r\n")

// appendEvent appends one event unless it was forwarded before.
func (e *eventSplitter) appendEvent(dst, event []byte) []byte {
	id := eventID(event)
	if id == "" && e.numbered {
		e.held = append(e.held, event...)
		return dst
	}
	e.received++
	held := e.held
	e.held = e.held[:0]
	if id != "" && e.last != "" && !isAfter(id, e.last) {
		return dst
	}
	if id != "" {
		e.last = id
		e.count++
	}
	dst = append(dst, held...)
	return append(dst, event...)
}

// restart begins a new answer behind an event, the given number of which were forwarded.
func (e *eventSplitter) restart(last string, count int) {
	e.discardRest()
	e.last, e.count = last, count
}

// continueWith takes the answer of another server over from its splitter: its whole events, and
// the bytes after them.
func (e *eventSplitter) continueWith(dst, events []byte, o *eventSplitter) ([]byte, error) {
	dst, err := e.feed(dst, events)
	e.pending, e.held, e.scanned = o.pending, o.held, o.scanned
	return dst, err
}

// rest returns the bytes after the last event that was forwarded; a whole stream may end
// with some.
func (e *eventSplitter) rest() []byte { return append(e.held, e.pending...) }

// discardRest drops what rest returns.
func (e *eventSplitter) discardRest() {
	e.pending, e.held, e.scanned = e.pending[:0], e.held[:0], 0
}

// eventEnd returns the length of the first whole event with its empty line, or -1. The
// first from bytes are known to hold no such end.
func eventEnd(b []byte, from int) int {
	for at := from; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		switch {
		case at < len(b) && b[at] == '\n':
			return at + 1
		case at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n':
			return at + 2
		}
	}
}

// eventID returns the value of the id line of an event, empty without one.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isAfter compares ids that are numbers; any other id is newer if it differs.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
