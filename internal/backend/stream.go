package backend

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// terminator is the data of the event that ends a token stream.
const terminator = "[DONE]"

// errorEvent names the event by which an engine ends a stream that it can't
// complete.
const errorEvent = "error"

// EventID returns the id of the event with which offset tokens are delivered.
func EventID(request api.RequestID, offset int) string {
	return string(request) + "/" + strconv.Itoa(offset)
}

// eventStream implements Stream on one connection.
type eventStream struct {
	call *inFlight
	// keepAlive is set if the server keeps the connection after the stream.
	keepAlive    bool
	events       *sseReader
	stallTimeout time.Duration
	offset       int
	err          error
	once         sync.Once
}

func newEventStream(call *inFlight, body io.Reader, keepAlive bool, cfg Config) *eventStream {
	return &eventStream{
		call:         call,
		keepAlive:    keepAlive,
		events:       newSSEReader(bufio.NewReaderSize(body, streamBuffer), cfg.MaxEvent),
		stallTimeout: cfg.StallTimeout,
		offset:       call.request.Offset,
	}
}

// streamBuffer is the read buffer of a stream, in bytes.
const streamBuffer = 1 << 10

// Next implements Stream.
func (s *eventStream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	s.call.extendReadDeadline(s.stallTimeout)
	raw, err := s.events.next()
	if err != nil {
		return Event{}, s.fail(s.readError(err))
	}
	ev, err := s.interpret(raw)
	if err != nil {
		return Event{}, s.fail(err)
	}
	if ev.Done {
		s.err = io.EOF
	}
	return ev, nil
}

// readError returns io.ErrUnexpectedEOF for a stream that ended early, and a typed
// error for other failures.
func (s *eventStream) readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.ErrUnexpectedEOF
	}
	return failure("read stream", s.call.request.Address, true, s.call.cause(err))
}

// interpret checks that the event belongs to the request and is the next one.
func (s *eventStream) interpret(raw sseEvent) (Event, error) {
	if raw.Name == errorEvent {
		return Event{}, errs.New(errs.Internal, "run request", s.call.request.Address, "engine reported: %s", raw.Data)
	}
	if string(raw.Data) == terminator {
		return Event{Offset: s.offset, Data: raw.Data, Done: true}, nil
	}
	if err := s.checkID(raw.ID); err != nil {
		return Event{}, failure("check event", s.call.request.Address, true, err)
	}
	s.offset++
	return Event{Offset: s.offset, Data: raw.Data}, nil
}

// checkID rejects events of other requests and gaps. An event without an id
// counts as the next one.
func (s *eventStream) checkID(id string) error {
	if id == "" {
		return nil
	}
	request, text, ok := cutLast(id, "/")
	if !ok {
		return errors.Wrapf(ErrMalformed, "event id %q", id)
	}
	if request != string(s.call.request.ID) {
		return errors.Wrapf(ErrWrongResponse, "event of request %q", request)
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset != s.offset+1 {
		return errors.Wrapf(ErrMalformed, "event offset %q, want %d", text, s.offset+1)
	}
	return nil
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

func (s *eventStream) fail(err error) error {
	s.err = err
	return err
}

// Close implements Stream.
func (s *eventStream) Close() error {
	s.once.Do(func() {
		reusable := errors.Is(s.err, io.EOF) && s.keepAlive && s.readToEnd()
		s.call.end(reusable)
		if s.err == nil {
			s.err = io.ErrClosedPipe
		}
	})
	return nil
}

// endTimeout limits the wait for the end of the body after the terminator.
const endTimeout = 20 * time.Millisecond

// readToEnd reports whether the body ends after the terminator.
func (s *eventStream) readToEnd() bool {
	s.call.limitRead(endTimeout)
	_, err := s.events.next()
	return errors.Is(err, io.EOF)
}
