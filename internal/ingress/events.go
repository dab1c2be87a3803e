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
}

var errEventTooLarge = errors.New("an event exceeds the limit")

// feed takes bytes of the stream and appends the events that they complete to dst.
func (e *eventSplitter) feed(dst, part []byte) ([]byte, error) {
	e.pending = append(e.pending, part...)
	rest := e.pending
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		dst = e.appendEvent(dst, rest[:end])
		rest = rest[end:]
	}
	e.pending = append(e.pending[:0], rest...)
	if len(e.pending) > maxEventBytes {
		return dst, errEventTooLarge
	}
	return dst, nil
}

// appendEvent appends one event unless it was forwarded before.
func (e *eventSplitter) appendEvent(dst, event []byte) []byte {
	id := eventID(event)
	if id != "" && e.last != "" && !isAfter(id, e.last) {
		return dst
	}
	if id != "" {
		e.last = id
		e.count++
	}
	return append(dst, event...)
}

// rest returns the bytes after the last whole event; a whole stream may end with some.
func (e *eventSplitter) rest() []byte { return e.pending }

// discardPending drops the beginning of an incomplete event.
func (e *eventSplitter) discardPending() { e.pending = e.pending[:0] }

// eventEnd returns the length of the first whole event with its empty line, or -1.
func eventEnd(b []byte) int {
	for at := 0; ; {
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
