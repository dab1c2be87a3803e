package ingress

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// events splits a stream of server-sent events into whole events and drops those
// that were passed on before.
type events struct {
	// pending holds the bytes behind the last whole event.
	pending []byte
	// last is the id of the newest event that was passed on.
	last string
	// count is the number of events passed on.
	count int
}

var errEventTooLarge = errors.New("an event exceeds the limit")

// feed appends bytes of the stream to dst as far as they make up whole events.
func (e *events) feed(dst, part []byte) ([]byte, error) {
	e.pending = append(e.pending, part...)
	rest := e.pending
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		dst = e.take(dst, rest[:end])
		rest = rest[end:]
	}
	e.pending = append(e.pending[:0], rest...)
	if len(e.pending) > maxEvent {
		return dst, errEventTooLarge
	}
	return dst, nil
}

// take appends one event unless it was passed on before.
func (e *events) take(dst, event []byte) []byte {
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

// rest returns the bytes behind the last whole event, which a whole stream may end
// with.
func (e *events) rest() []byte { return e.pending }

// restart forgets the beginning of an event that broke off.
func (e *events) restart() { e.pending = e.pending[:0] }

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

// isAfter compares ids that are numbers; others differ or not.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
