package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// sseEvent is one server-sent event, parsed but not interpreted.
type sseEvent struct {
	ID   string
	Name string
	Data []byte
}

// sseReader parses a text/event-stream. It accepts the line ends LF, CRLF and
// CR and skips comments, unknown fields and events without data.
type sseReader struct {
	src   *bufio.Reader
	limit int
	line  []byte
	// skipLF is set after a CR, which a LF may follow.
	skipLF bool
}

// newSSEReader limits one event, its field names included, to limit bytes.
func newSSEReader(src *bufio.Reader, limit int) *sseReader {
	return &sseReader{src: src, limit: limit}
}

// next returns the next event with data. It returns io.EOF at the end of the
// stream; an event without its closing blank line is dropped.
func (r *sseReader) next() (sseEvent, error) {
	var ev sseEvent
	size := 0
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		size += len(line)
		if size > r.limit {
			return sseEvent{}, errors.Wrapf(ErrTooLarge, "event over %d bytes", r.limit)
		}
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			ev = sseEvent{}
			size = 0
			continue
		}
		if ev.addField(line, hasData) {
			hasData = true
		}
	}
}

// addField adds one line to the event and reports whether it was a data field.
func (ev *sseEvent) addField(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if hasData {
			ev.Data = append(ev.Data, '\n')
		}
		ev.Data = append(ev.Data, value...)
		return true
	case "id":
		ev.ID = string(value)
	case "event":
		ev.Name = string(value)
	}
	return false
}

// readLine returns the next line without its end. The slice is valid until the
// next call.
func (r *sseReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.buffered()
		if err != nil {
			if len(r.line) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		end := lineEnd(part)
		whole := end >= 0
		if !whole {
			end = len(part)
		}
		if len(r.line)+end > r.limit {
			return nil, errors.Wrapf(ErrTooLarge, "line over %d bytes", r.limit)
		}
		line := part[:end]
		if !whole || len(r.line) > 0 {
			r.line = append(r.line, line...)
			line = r.line
		}
		if !whole {
			_, _ = r.src.Discard(end)
			continue
		}
		r.skipLF = part[end] == '\r'
		_, _ = r.src.Discard(end + 1)
		return line, nil
	}
}

// buffered returns the buffered bytes, at least one, without the LF of a CRLF.
func (r *sseReader) buffered() ([]byte, error) {
	for {
		if _, err := r.src.Peek(1); err != nil {
			return nil, err
		}
		part, _ := r.src.Peek(r.src.Buffered())
		if !r.skipLF || part[0] != '\n' {
			r.skipLF = false
			return part, nil
		}
		r.skipLF = false
		_, _ = r.src.Discard(1)
	}
}

// lineEnd returns the index of the first LF or CR, or -1.
func lineEnd(b []byte) int {
	lf := bytes.IndexByte(b, '\n')
	if lf < 0 {
		return bytes.IndexByte(b, '\r')
	}
	if cr := bytes.IndexByte(b[:lf], '\r'); cr >= 0 {
		return cr
	}
	return lf
}
